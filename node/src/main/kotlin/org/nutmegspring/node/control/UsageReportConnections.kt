package org.nutmegspring.node.control

import arrow.core.Either
import org.nutmegspring.failure.Failure
import org.nutmegspring.platform.UsageReport

/** A connection to the platform's usage interface that never reconnects by itself. */
interface UsageReportConnection {
    /** Makes an exchange without effect, so that the time of the last answer on this connection is known. */
    suspend fun prepare(): Either<Failure, Unit>

    /** Sends [report] in a single write, or returns a failure if the connection is closed. */
    suspend fun send(report: UsageReport): Either<Failure, Unit>

    /** Closes the connection. */
    fun close()
}

/** Opens connections to the platform's usage interface. */
fun interface UsageReportConnections {
    /** Opens a new connection. */
    suspend fun open(): Either<Failure, UsageReportConnection>
}
