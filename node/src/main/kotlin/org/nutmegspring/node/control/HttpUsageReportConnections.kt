package org.nutmegspring.node.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpMethod
import io.ktor.network.selector.SelectorManager
import kotlinx.serialization.json.Json
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.platform.UsageReport
import org.nutmegspring.storeclient.PlatformPaths
import kotlin.time.Duration

/** Opens HTTP connections to the platform's usage interface at [address], given as `host:port`. */
internal class HttpUsageReportConnections(
    private val selector: SelectorManager,
    private val address: String,
    private val timeout: Duration,
) : UsageReportConnections {
    override suspend fun open(): Either<Failure, UsageReportConnection> =
        HttpConnection.open(selector, address, Peer.PLATFORM, timeout).map(::HttpUsageReportConnection)
}

private class HttpUsageReportConnection(private val connection: HttpConnection) : UsageReportConnection {
    override suspend fun prepare(): Either<Failure, Unit> =
        connection.exchange(HttpMethod.Get, "${PlatformPaths.OBJECT}?key=usage/none").map { }

    override suspend fun send(report: UsageReport): Either<Failure, Unit> {
        val body = Json.encodeToString(UsageReport.serializer(), report)
        return connection.exchange(HttpMethod.Post, PlatformPaths.USAGE_REPORTS, body).flatMap { answer ->
            if (answer.isSuccess) Unit.right() else createRejection(answer).left()
        }
    }

    override fun close() = connection.close()

    private fun createRejection(answer: HttpAnswer): Failure =
        Failure(Step.REPORT_USAGE, Peer.PLATFORM, Effect.UNKNOWN, "unexpected answer with status ${answer.status}")
}
