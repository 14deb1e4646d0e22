package org.nutmegspring.node.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.network.selector.SelectorManager
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineOrderReply
import org.nutmegspring.endpoint.EngineProtocol
import org.nutmegspring.endpoint.EngineState
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import kotlin.time.Duration

/** Opens HTTP connections to engines for orders. Each answer may take [timeout]. */
class HttpEngineConnections(
    private val selector: SelectorManager,
    private val timeout: Duration,
) : EngineConnections {
    override suspend fun open(engine: EndpointDescription): Either<Failure, EngineConnection> {
        val peer = Peer("engine ${engine.id}")
        return HttpConnection.open(selector, engine.address, peer, timeout).map { HttpEngineConnection(it, peer) }
    }
}

private class HttpEngineConnection(
    private val connection: HttpConnection,
    private val peer: Peer,
) : EngineConnection {
    override suspend fun state(): Either<Failure, EngineState> =
        connection.exchange(HttpMethod.Get, EngineProtocol.STATE_PATH).flatMap(::stateOf)

    override suspend fun send(order: EngineOrder): Either<Failure, EngineOrderReply> {
        val body = json.encodeToString(EngineOrder.serializer(), order)
        return connection.exchange(HttpMethod.Post, EngineProtocol.ORDERS_PATH, body).flatMap(::replyOf)
    }

    override fun close() = connection.close()

    private fun replyOf(answer: HttpAnswer): Either<Failure, EngineOrderReply> = when {
        answer.isSuccess -> {
            EngineOrderReply.Accepted.right()
        }

        answer.status == HttpStatusCode.Conflict.value -> {
            stateOf(answer).map { EngineOrderReply.StaleFencing(it.acceptedFencing) }
        }

        answer.status == HttpStatusCode.ServiceUnavailable.value -> {
            EngineOrderReply.Unready(answer.body).right()
        }

        else -> {
            failure("answered ${answer.status}").left()
        }
    }

    private fun stateOf(answer: HttpAnswer): Either<Failure, EngineState> = try {
        json.decodeFromString(EngineState.serializer(), answer.body).right()
    } catch (exception: SerializationException) {
        failure("answered ${answer.status} without its state: ${exception.message}").left()
    }

    private fun failure(message: String): Failure = Failure(Step.ORDER, peer, Effect.UNKNOWN, message)

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}
