package org.nutmegspring.node.control

import arrow.core.Either
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineOrderReply
import org.nutmegspring.endpoint.EngineState
import org.nutmegspring.failure.Failure
import org.nutmegspring.time.MonotonicTime

/** A connection to an engine that carries one request at a time and never reconnects by itself. */
interface EngineConnection {
    /** Reads the state of the engine. */
    suspend fun readState(): Either<Failure, EngineState>

    /** Sends [order] in a single write, or returns a failure if the connection is closed. */
    suspend fun send(order: EngineOrder): Either<Failure, EngineOrderReply>

    /** Closes the connection. */
    fun close()
}

/** Opens connections to engines. */
fun interface EngineConnections {
    /** Opens a new connection to [engine]. */
    suspend fun open(engine: EndpointDescription): Either<Failure, EngineConnection>
}

/** Obtains promises from all instances to send no new work to an engine for a limited time. */
fun interface QuietCoordinator {
    /**
     * Returns the time until which no instance sends new work to [engine], with no work in flight from any instance, or
     * null unless all instances have confirmed both.
     */
    suspend fun requestQuiet(engine: EndpointDescription): MonotonicTime?
}
