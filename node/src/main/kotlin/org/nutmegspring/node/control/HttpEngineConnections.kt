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

/** Opens HTTP connections for orders to engines. [timeout] limits each connection attempt and each exchange. */
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
    override suspend fun readState(): Either<Failure, EngineState> =
        connection.exchange(HttpMethod.Get, EngineProtocol.STATE_PATH).flatMap(::parseState)

    override suspend fun send(order: EngineOrder): Either<Failure, EngineOrderReply> {
        val body = json.encodeToString(EngineOrder.serializer(), order)
        return connection.exchange(HttpMethod.Post, EngineProtocol.ORDERS_PATH, body).flatMap(::parseReply)
    }

    override fun close() = connection.close()

    private fun parseReply(answer: HttpAnswer): Either<Failure, EngineOrderReply> = when {
        answer.isSuccess -> {
            EngineOrderReply.Accepted.right()
        }

        answer.status == HttpStatusCode.Conflict.value -> {
            parseState(answer).map { EngineOrderReply.StaleFencing(it.acceptedFencing) }
        }

        answer.status == HttpStatusCode.ServiceUnavailable.value -> {
            EngineOrderReply.Unready(answer.body).right()
        }

        else -> {
            createFailure("unexpected answer with status ${answer.status}").left()
        }
    }

    private fun parseState(answer: HttpAnswer): Either<Failure, EngineState> = try {
        json.decodeFromString(EngineState.serializer(), answer.body).right()
    } catch (exception: SerializationException) {
        createFailure("answer with status ${answer.status} has no valid state: ${exception.message}").left()
    }

    private fun createFailure(message: String): Failure = Failure(Step.ORDER, peer, Effect.UNKNOWN, message)

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}
