package org.nutmegspring.protocol

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.isClosed
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.nutmegspring.identity.InstanceId
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Accepts connections from other instances and dispatches their requests to the handlers. */
internal class InnerServer(
    private val options: TransportOptions,
    private val counters: TransportCounters,
    private val tracer: Tracer,
) {
    private val handlers = CopyOnWriteArrayList<InnerHandler>()

    /** Adds [handler] after the existing ones. */
    fun addHandler(handler: InnerHandler) {
        handlers.add(handler)
    }

    /** Accepts connections on [server] until it is closed or [scope] is cancelled. */
    fun start(server: ServerSocket, scope: CoroutineScope) {
        scope.launch {
            supervisorScope {
                while (isActive && !server.isClosed) {
                    accept(server)?.let { launch { serveConnection(it) } }
                }
            }
        }
    }

    private suspend fun accept(server: ServerSocket): Socket? = try {
        server.accept()
    } catch (cause: IOException) {
        if (currentCoroutineContext().isActive) logger.warn(cause) { "failed to accept a connection" }
        delay(ACCEPT_RETRY_DELAY)
        null
    }

    private suspend fun serveConnection(socket: Socket) {
        val frames = FrameSocket(socket, counters, options.maximumFrameBytes)
        try {
            val hello = withTimeoutOrNull(options.connectTimeout) { frames.read() } as? Frame.Hello ?: return
            frames.writeNow(createOutgoingFrame(Frame.Hello(options.instance, options.incarnation)))
            coroutineScope {
                launch { frames.writeQueued() }
                handleRequests(hello.instance, frames)
            }
        } catch (cause: CancellationException) {
            throw cause
        } catch (cause: IOException) {
            logger.debug { "connection closed: ${cause.message}" }
        } catch (cause: Exception) {
            logger.warn { "received an undecodable frame: ${cause.message}" }
        } finally {
            frames.close()
        }
    }

    private suspend fun handleRequests(from: InstanceId, frames: FrameSocket) = coroutineScope {
        val permits = Semaphore(options.maximumConcurrentRequests)
        while (isActive) {
            val frame = frames.read() as? Frame.Request ?: continue
            permits.acquire()
            launch {
                try {
                    sendReply(from, frame, frames)
                } finally {
                    permits.release()
                }
            }
        }
    }

    private suspend fun sendReply(from: InstanceId, frame: Frame.Request, frames: FrameSocket) {
        val body = createReplyBody(from, frame)
        val reply = createOutgoingFrame(Frame.Reply(frame.id, body))
        if (reply.bytes.size <= options.maximumFrameBytes) {
            frames.enqueue(reply)
        } else {
            logger.error { "reply of ${reply.bytes.size} bytes to instance $from exceeds the maximum frame length" }
            frames.enqueue(createOutgoingFrame(Frame.Reply(frame.id, encode(HandlerFailedReply("too long")))))
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private suspend fun createReplyBody(from: InstanceId, frame: Frame.Request): ByteArray {
        val reply = try {
            val request = innerCbor.decodeFromByteArray<InnerRequest>(frame.body)
            handle(from, request, parseTraceParent(frame.traceParent))
        } catch (cause: SerializationException) {
            logger.debug { "cannot decode a request from instance $from: ${cause.message}" }
            UnsupportedReply("unreadable")
        }
        return encode(reply)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun encode(reply: InnerReply): ByteArray = innerCbor.encodeToByteArray<InnerReply>(reply)

    private suspend fun handle(from: InstanceId, request: InnerRequest, parent: Context): InnerReply {
        val name = request::class.simpleName.orEmpty()
        val span = tracer.spanBuilder("receive $name")
            .setParent(parent)
            .setSpanKind(SpanKind.SERVER)
            .setAttribute("instance.id", from.value)
            .startSpan()
        return try {
            withContext(TraceContextElement(parent.with(span))) { dispatch(from, request) ?: UnsupportedReply(name) }
        } catch (cause: CancellationException) {
            throw cause
        } catch (cause: Exception) {
            logger.error(cause) { "failed to handle $name from instance $from" }
            span.setStatus(StatusCode.ERROR)
            HandlerFailedReply(name)
        } finally {
            span.end()
        }
    }

    private suspend fun dispatch(from: InstanceId, request: InnerRequest): InnerReply? {
        for (handler in handlers) {
            handler.handle(from, request)?.let { return it }
        }
        return null
    }

    private companion object {
        val ACCEPT_RETRY_DELAY = 50.milliseconds
    }
}
