package org.nutmegspring.node.engine

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/** Answers of plain services in chunks whose last chunk does not arrive. */
class UnfinishedChunkedAnswerSpec {
    private val service = ClosingService()

    @AfterEach
    fun close() = service.close()

    @Test
    fun `an answer in chunks without the last one is a failure`() {
        assertEquals(null, service.call("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n9\nconfirmed\n"))
    }
}
