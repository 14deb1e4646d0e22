package org.nutmegspring.node.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.storeclient.createHttpPlatform
import kotlin.test.Test
import kotlin.test.assertEquals

// Guards against LOST: an answer of the store that was cut short must not pass for an empty list or a missing object.
class CutStoreAnswerSpec {
    private val server = CuttingServer()
    private val store = createHttpPlatform(server.address)
    private val key = ObjectKey("a")

    @AfterEach
    fun close() {
        store.close()
        server.close()
    }

    /** Returns the cuts, before the last character of [body], after which [read] succeeds. */
    private fun readCuts(body: String, read: suspend () -> Boolean): List<String> =
        framings(body).filterNot { it.hasInterimHead }.flatMap { framing ->
            server.answerWith(listOf(framing.answer))
            assertEquals(true, runBlocking { read() }, "$framing")
            (0..framing.answer.lastIndexOf(body.last().code.toByte())).flatMap { cut ->
                listOf(Ending.CLOSE, Ending.RESET).filter { ending ->
                    server.answerWith(listOf(framing.answer.copyOf(cut)), ending)
                    runBlocking { read() }
                }.map { "$framing $it $cut" }
            }
        }

    @Test
    fun `a list and an object cut at any byte up to their last are failures`() {
        assertEquals(emptyList(), readCuts("[]") { store.list(key).isRight() })
        assertEquals(emptyList(), readCuts("""{"key":"a","value":"","version":1}""") { store.read(key).isRight() })
    }
}
