package org.nutmegspring.gateway.forwarding

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.gateway.http.ConnectionProbe
import org.nutmegspring.gateway.http.EndpointConnections
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.time.Duration.Companion.milliseconds

/**
 * Probes engines that cut off an answer, to tell a crash of the process from a fault of one connection.
 *
 * All requests in flight at an engine break off with it, so probes at the same time share one connection.
 *
 * @param permits whether engines in a data centre may be probed
 * @param mayContact counts a probe of an endpoint, and returns false if it must not be sent
 */
class EngineProbes(
    private val connections: EndpointConnections,
    private val permits: (DataCentreId) -> Boolean = { true },
    private val mayContact: (EndpointId) -> Boolean = { true },
) {
    private val running = HashMap<String, CompletableDeferred<ConnectionProbe>>()

    /**
     * Returns whether [engine] accepts connections. An engine that does not answer in time, or that may not be probed,
     * is unanswered.
     */
    suspend fun probe(engine: ServingEndpoint): ConnectionProbe {
        if (!permits(engine.dataCentre)) return ConnectionProbe.UNANSWERED
        val address = engine.address
        running[address]?.let { return it.await() }
        if (!mayContact(engine.id)) return ConnectionProbe.UNANSWERED
        val result = CompletableDeferred<ConnectionProbe>()
        running[address] = result
        var probed = ConnectionProbe.UNANSWERED
        try {
            probed = withTimeoutOrNull(PROBE_TIMEOUT) { connections.probe(address) } ?: ConnectionProbe.UNANSWERED
        } finally {
            running.remove(address)
            result.complete(probed)
        }
        return probed
    }

    private companion object {
        /** A refusal takes one round trip, and the caller waits for its retry meanwhile. */
        val PROBE_TIMEOUT = 100.milliseconds
    }
}
