package org.nutmegspring.protocol

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.systemMonotonicClock
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * Carries messages over TCP as length-prefixed CBOR frames.
 *
 * Requests to one peer share a connection. Each has an id that the process uses once, and a reply is given to the
 * request with its id or dropped. A failed exchange is [Effect.NOT_RUN] only when no byte of the request was written
 * and none will be, or when the peer said that it handles no such request.
 */
class InnerTransport internal constructor(
    private val options: TransportOptions,
    private val tracer: Tracer,
    clock: MonotonicClock,
) : InnerNetwork {
    /** What was carried so far. */
    val counters: TransportCounters = TransportCounters()

    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val lastRequest = AtomicLong()
    private val server = InnerServer(options, counters, tracer)
    private val links = PeerLinks(options, selector, scope, counters, clock)

    @Volatile
    private var listener: ServerSocket? = null

    /** Starts to listen and returns the port. */
    suspend fun start(): Int {
        val opened = aSocket(selector).tcp().bind(InetSocketAddress(options.listenHost, options.listenPort))
        listener = opened
        server.start(opened, scope)
        return (opened.localAddress as InetSocketAddress).port
    }

    /** Closes every connection. Exchanges that run fail. */
    fun close() {
        scope.cancel()
        listener?.close()
        links.close()
        selector.close()
    }

    override fun addHandler(handler: InnerHandler) = server.addHandler(handler)

    override suspend fun exchange(
        to: InstanceId,
        request: InnerRequest,
        timeout: Duration,
    ): Either<Failure, InnerReply> {
        val name = request::class.simpleName.orEmpty()
        val span = tracer.spanBuilder("send $name")
            .setSpanKind(SpanKind.CLIENT)
            .setAttribute("instance.id", to.value)
            .startSpan()
        try {
            val parent = traceParentOf(Context.current().with(span))
            return attempt(to, request, parent, timeout).onLeft {
                counters.exchangeFailed()
                span.setStatus(StatusCode.ERROR, it.message)
            }
        } finally {
            span.end()
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private suspend fun attempt(
        to: InstanceId,
        request: InnerRequest,
        traceParent: String?,
        timeout: Duration,
    ): Either<Failure, InnerReply> {
        val id = lastRequest.incrementAndGet()
        val body = innerCbor.encodeToByteArray<InnerRequest>(request)
        val frame = outgoingFrame(Frame.Request(id, traceParent, body))
        if (frame.bytes.size > options.maximumFrameBytes) {
            return exchangeFailure(to, Effect.NOT_RUN, "the request is too long").left()
        }
        var link: PeerLink? = null
        try {
            val reply = withTimeoutOrNull(timeout) {
                links.obtain(to).flatMap { opened ->
                    link = opened
                    opened.exchange(id, frame)
                }
            }
            return reply?.flatMap { decode(to, it) } ?: timedOut(to, frame, link, timeout).left()
        } finally {
            frame.withdraw()
        }
    }

    private fun timedOut(to: InstanceId, frame: OutgoingFrame, link: PeerLink?, timeout: Duration): Failure {
        if (frame.withdraw()) return exchangeFailure(to, Effect.NOT_RUN, "nothing could be sent within $timeout")
        link?.timedOut()
        return exchangeFailure(to, Effect.UNKNOWN, "no reply came within $timeout")
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun decode(to: InstanceId, body: ByteArray): Either<Failure, InnerReply> {
        val reply = try {
            innerCbor.decodeFromByteArray<InnerReply>(body)
        } catch (cause: SerializationException) {
            return exchangeFailure(to, Effect.UNKNOWN, "the reply cannot be read: ${cause.message}").left()
        }
        return when (reply) {
            is UnsupportedReply -> {
                exchangeFailure(to, Effect.NOT_RUN, "it handles no ${reply.request}").left()
            }

            is HandlerFailedReply -> {
                exchangeFailure(to, Effect.UNKNOWN, "its handler of ${reply.request} failed").left()
            }

            else -> {
                reply.right()
            }
        }
    }
}

/** Returns a transport that is not yet started. Spans of each message are given to [tracer]. */
fun innerTransport(
    options: TransportOptions,
    tracer: Tracer = OpenTelemetry.noop().getTracer("org.nutmegspring.protocol"),
    clock: MonotonicClock = systemMonotonicClock(),
): InnerTransport = InnerTransport(options, tracer, clock)
