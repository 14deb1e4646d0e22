package org.nutmegspring.node.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.storeclient.createHttpPlatform
import kotlin.test.Test
import kotlin.test.assertFalse

// In KNOWN-RED.txt: the store client of `serve` reads a status of four digits that begins with 0 as one of three.
class PaddedStatusSpec {
    private val server = CuttingServer()
    private val store = createHttpPlatform(server.address)

    @AfterEach
    fun close() {
        store.close()
        server.close()
    }

    @Test
    fun `an answer of the store with status 0200 is a failure`() {
        server.answerWith(listOf("HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\n[]".encodeToByteArray()))
        assertFalse(runBlocking { store.list(ObjectKey("a")).isRight() })
    }
}
