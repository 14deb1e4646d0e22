package org.nutmegspring.node.control

import arrow.core.Either
import org.nutmegspring.failure.Failure
import org.nutmegspring.platform.UsageReport

/** A connection to the platform's usage interface that is never replaced silently. */
interface UsageReportConnection {
    /** Has the platform answer something on this connection, so that the time of the last answer is known. */
    suspend fun prepare(): Either<Failure, Unit>

    /** Sends [report] with one write on this connection, or fails when the connection was closed. */
    suspend fun send(report: UsageReport): Either<Failure, Unit>

    /** Closes the connection. */
    fun close()
}

/** Opens connections to the platform's usage interface. */
fun interface UsageReportConnections {
    /** Opens a new connection. */
    suspend fun open(): Either<Failure, UsageReportConnection>
}
