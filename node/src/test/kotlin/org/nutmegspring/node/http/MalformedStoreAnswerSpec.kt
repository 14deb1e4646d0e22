package org.nutmegspring.node.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.storeclient.createHttpPlatform
import kotlin.test.Test
import kotlin.test.assertEquals

// Guards `serve` against answers of the store whose heads a lenient reading turns into others.
class MalformedStoreAnswerSpec {
    private val server = CuttingServer()
    private val store = createHttpPlatform(server.address)

    @AfterEach
    fun close() {
        store.close()
        server.close()
    }

    /** Returns those of [heads] after which an empty list or a missing object was read. */
    private fun findRead(heads: List<String>): List<String> = heads.filter { head ->
        server.answerWith(listOf("$head\n\n[]".replace("\n", "\r\n").toByteArray(Charsets.ISO_8859_1)))
        runBlocking { store.list(ObjectKey("a")).isRight() || store.read(ObjectKey("a")).isRight() }
    }

    @Test
    fun `a status that HTTP does not have is a failure`() = assertEquals(
        emptyList(),
        findRead(
            listOf("000", "099", "600", "999", "+200", "20", "2000").map {
                "HTTP/1.1 $it Odd\nContent-Length: 2"
            },
        ),
    )

    @Test
    fun `a line that is no field is a failure`() = assertEquals(
        emptyList(),
        findRead(
            listOf("No te: 1", "Note : 1", " Note: 1", "No\u0001te: 1", ": 1", "Note", "Content-Length x: 1").flatMap {
                listOf("HTTP/1.1 200 OK\n$it\nContent-Length: 2", "HTTP/1.1 200 OK\nContent-Length: 2\n$it")
            },
        ),
    )
}
