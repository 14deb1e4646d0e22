package org.nutmegspring.node.control

import io.ktor.http.HttpMethod
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.nutmegspring.failure.Peer
import org.nutmegspring.node.http.CuttingServer
import org.nutmegspring.node.http.Ending
import org.nutmegspring.node.http.framings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

// Guards `serve` against ORDER: an order whose answer was cut short, or came in chunks, counted as accepted.
class CutOrderAnswerSpec {
    private val server = CuttingServer()
    private val selector = SelectorManager(Dispatchers.IO)
    private val body = """{"role":"decode"}"""

    @AfterEach
    fun close() {
        selector.close()
        server.close()
    }

    private fun exchange(): String? = runBlocking {
        val opened = HttpConnection.open(selector, server.address, Peer("engine"), 5.seconds)
        opened.getOrNull()?.use { it.exchange(HttpMethod.Post, "/x", "{}").getOrNull()?.body }
    }

    @Test
    fun `a whole answer is read in every framing`() = framings(body).forEach { framing ->
        server.answerWith(listOf(framing.answer))
        assertEquals(body, exchange(), "$framing")
        server.answerWith(framing.answer.map { byteArrayOf(it) })
        assertEquals(body, exchange(), "$framing, one byte a packet")
    }

    @Test
    fun `an answer cut at any byte is a failure`() {
        val taken = framings(body).flatMap { framing ->
            framing.cuts.flatMap { cut ->
                listOf(Ending.CLOSE, Ending.RESET).filter { ending ->
                    server.answerWith(listOf(framing.answer.copyOf(cut)), ending)
                    exchange() != null
                }.map { "$framing $it $cut" }
            }
        }
        assertEquals(emptyList(), taken)
    }
}
