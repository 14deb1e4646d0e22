package org.nutmegspring.node.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readString
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.node.http.RequestOutput
import org.nutmegspring.node.http.framing
import org.nutmegspring.node.http.readAnswerBody
import org.nutmegspring.node.http.readAnswerHead
import kotlin.time.Duration

/** The answer to a request sent on an [HttpConnection]. */
internal class HttpAnswer(
    val status: Int,
    val body: String,
) {
    /** Whether the status is 2xx. */
    val isSuccess: Boolean get() = status / STATUSES_PER_CLASS == SUCCESS_CLASS

    private companion object {
        const val STATUSES_PER_CLASS = 100
        const val SUCCESS_CLASS = 2
    }
}

/**
 * A single HTTP connection that carries one request at a time. Unlike a pooled client it never reconnects, so bytes
 * sent after the server has closed the connection have no effect.
 *
 * @property timeout the maximum duration of an exchange
 */
internal class HttpConnection private constructor(
    private val socket: Socket,
    private val address: String,
    private val peer: Peer,
    private val timeout: Duration,
) : AutoCloseable {
    private val input = socket.openReadChannel()
    private val output = RequestOutput(socket)

    /** Sends a request in a single write and returns its answer. */
    suspend fun exchange(method: HttpMethod, path: String, body: String? = null): Either<Failure, HttpAnswer> =
        runWithTimeout(peer, Effect.UNKNOWN, timeout) {
            output.write(buildRequest(method, path, body?.encodeToByteArray()))
            readAnswer(method)
        }

    override fun close() = socket.close()

    private fun buildRequest(method: HttpMethod, path: String, body: ByteArray?) = RequestResponseBuilder().apply {
        requestLine(method, path, "HTTP/1.1")
        headerLine("Host", address)
        if (body != null) {
            headerLine("Content-Type", "application/json")
            headerLine("Content-Length", body.size.toString())
        }
        emptyLine()
        if (body != null) bytes(body)
    }.build()

    private suspend fun readAnswer(method: HttpMethod): HttpAnswer {
        val head = input.readAnswerHead()
        val body = Buffer()
        input.readAnswerBody(head.framing(method), output) { bytes, count -> body.write(bytes, 0, count) }
        return HttpAnswer(head.status.value, body.readString())
    }

    companion object {
        /** Opens a connection to [peer] at [address], given as `host:port`. [timeout] also limits this attempt. */
        suspend fun open(
            selector: SelectorManager,
            address: String,
            peer: Peer,
            timeout: Duration,
        ): Either<Failure, HttpConnection> = runWithTimeout(peer, Effect.NOT_RUN, timeout) {
            val host = address.substringBeforeLast(':')
            val port = address.substringAfterLast(':').toInt()
            HttpConnection(aSocket(selector).tcp().connect(host, port), address, peer, timeout)
        }

        private suspend fun <T : Any> runWithTimeout(
            peer: Peer,
            effect: Effect,
            timeout: Duration,
            action: suspend () -> T,
        ): Either<Failure, T> = try {
            withTimeoutOrNull(timeout) { action() }?.right()
                ?: createFailure(peer, effect, "no answer within $timeout").left()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (exception: Exception) {
            createFailure(peer, effect, exception.message ?: exception.toString()).left()
        }

        private fun createFailure(peer: Peer, effect: Effect, message: String): Failure =
            Failure(if (effect == Effect.NOT_RUN) Step.CONNECT else Step.SEND, peer, effect, message)
    }
}
