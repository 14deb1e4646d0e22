package org.nutmegspring.node.control

import arrow.core.Either
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineOrderReply
import org.nutmegspring.endpoint.EngineState
import org.nutmegspring.failure.Failure
import org.nutmegspring.time.MonotonicTime

/** A connection to an engine that carries requests one after the other and is never replaced silently. */
interface EngineConnection {
    /** Asks the engine for its state. */
    suspend fun state(): Either<Failure, EngineState>

    /** Sends [order] with one write on this connection, or fails when the connection was closed. */
    suspend fun send(order: EngineOrder): Either<Failure, EngineOrderReply>

    /** Closes the connection. */
    fun close()
}

/** Opens connections to engines. */
fun interface EngineConnections {
    /** Opens a new connection to [engine]. */
    suspend fun open(engine: EndpointDescription): Either<Failure, EngineConnection>
}

/** Asks all instances to send no new work to an engine. */
fun interface EngineQuiet {
    /**
     * Returns until when no instance sends new work to [engine] and none waits for work that it sent, or null when
     * not every instance confirmed that.
     */
    suspend fun request(engine: EndpointDescription): MonotonicTime?
}
