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
 * Exchanges messages over TCP as length-prefixed CBOR frames.
 *
 * Requests to one peer share a connection. The process never reuses a request id; a reply completes the pending request
 * with the same id, or is dropped if there is none. A failed exchange is [Effect.NOT_RUN] only when no byte of the
 * request was written and none will be, or when the peer replied that it does not support the request.
 */
class InnerTransport internal constructor(
    private val options: TransportOptions,
    private val tracer: Tracer,
    clock: MonotonicClock,
) : InnerNetwork {
    /** The traffic of this transport so far. */
    val counters: TransportCounters = TransportCounters()

    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val lastRequestId = AtomicLong()
    private val server = InnerServer(options, counters, tracer)
    private val connections = PeerConnectionPool(options, selector, scope, counters, clock)

    @Volatile
    private var listener: ServerSocket? = null

    /** Starts listening and returns the port. */
    suspend fun start(): Int {
        val serverSocket = aSocket(selector).tcp().bind(InetSocketAddress(options.listenHost, options.listenPort))
        listener = serverSocket
        server.start(serverSocket, scope)
        return (serverSocket.localAddress as InetSocketAddress).port
    }

    /** Stops listening and closes all connections. Exchanges in progress fail. */
    fun close() {
        scope.cancel()
        listener?.close()
        connections.close()
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
            val parent = formatTraceParent(Context.current().with(span))
            return sendRequest(to, request, parent, timeout).onLeft {
                counters.recordFailedExchange()
                span.setStatus(StatusCode.ERROR, it.message)
            }
        } finally {
            span.end()
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private suspend fun sendRequest(
        to: InstanceId,
        request: InnerRequest,
        traceParent: String?,
        timeout: Duration,
    ): Either<Failure, InnerReply> {
        val id = lastRequestId.incrementAndGet()
        val body = innerCbor.encodeToByteArray<InnerRequest>(request)
        val frame = createOutgoingFrame(Frame.Request(id, traceParent, body))
        if (frame.bytes.size > options.maximumFrameBytes) {
            return createExchangeFailure(to, Effect.NOT_RUN, "the request exceeds the maximum frame length").left()
        }
        var connection: PeerConnection? = null
        try {
            val reply = withTimeoutOrNull(timeout) {
                connections.obtain(to).flatMap { opened ->
                    connection = opened
                    opened.exchange(id, frame)
                }
            }
            return reply?.flatMap { decodeReply(to, it) } ?: recordTimeout(to, frame, connection, timeout).left()
        } finally {
            frame.withdraw()
        }
    }

    private fun recordTimeout(
        to: InstanceId,
        frame: OutgoingFrame,
        connection: PeerConnection?,
        timeout: Duration,
    ): Failure {
        if (frame.withdraw()) {
            return createExchangeFailure(to, Effect.NOT_RUN, "the request could not be sent within $timeout")
        }
        connection?.recordTimeout()
        return createExchangeFailure(to, Effect.UNKNOWN, "no reply within $timeout")
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun decodeReply(to: InstanceId, body: ByteArray): Either<Failure, InnerReply> {
        val reply = try {
            innerCbor.decodeFromByteArray<InnerReply>(body)
        } catch (cause: SerializationException) {
            return createExchangeFailure(to, Effect.UNKNOWN, "the reply cannot be decoded: ${cause.message}").left()
        }
        return when (reply) {
            is UnsupportedReply -> {
                createExchangeFailure(to, Effect.NOT_RUN, "unsupported request: ${reply.request}").left()
            }

            is HandlerFailedReply -> {
                createExchangeFailure(to, Effect.UNKNOWN, "request handling failed: ${reply.request}").left()
            }

            else -> {
                reply.right()
            }
        }
    }
}

/** Creates a transport that is not yet started. [tracer] records a span for each message sent or received. */
fun createInnerTransport(
    options: TransportOptions,
    tracer: Tracer = OpenTelemetry.noop().getTracer("org.nutmegspring.protocol"),
    clock: MonotonicClock = systemMonotonicClock(),
): InnerTransport = InnerTransport(options, tracer, clock)
