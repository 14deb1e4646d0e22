package org.nutmegspring.gateway.forwarding

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.gateway.endpointOf
import org.nutmegspring.gateway.http.ConnectionProbe
import org.nutmegspring.gateway.http.EndpointConnections
import org.nutmegspring.gateway.http.EventLoop
import java.net.ServerSocket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class EngineProbesSpec {
    private val loop = EventLoop()

    @AfterTest
    fun close() = loop.close()

    // Guards against EVAC: connections to engines of an evacuated data centre.
    @Test
    fun `an engine is probed only where its data centre permits it`() {
        val address = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }
        var isPermitted = true
        val probes = EngineProbes(EndpointConnections(loop, TestClock(), 2.seconds)) { isPermitted }

        fun probe() = runBlocking { withContext(loop.dispatcher) { probes.probe(endpointOf("a", address = address)) } }
        assertEquals(ConnectionProbe.REFUSED, probe())
        isPermitted = false
        assertEquals(ConnectionProbe.UNANSWERED, probe())
    }
}
