package org.nutmegspring.gateway.forwarding

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.gateway.endpoints.EndpointRestraints
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.http.AnswerPart
import org.nutmegspring.gateway.http.EndpointConnections
import org.nutmegspring.gateway.http.HttpCall
import org.nutmegspring.gateway.http.OpenAnswer
import org.nutmegspring.gateway.observe.BodyFraming
import org.nutmegspring.gateway.wire.AnswerFacts
import org.nutmegspring.gateway.wire.Dispatch
import org.nutmegspring.gateway.wire.ServingDialect
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The head of an endpoint's answer to a request. */
class AnswerHead(val status: Int, val headers: HttpHeaders, val facts: AnswerFacts) {
    /** Whether the answer reports success. */
    val isSuccess: Boolean get() = status in SUCCESS

    /** Whether the endpoint failed. */
    val isServerError: Boolean get() = status >= FIRST_SERVER_ERROR

    /** What marks the end of the body. */
    val framing: BodyFraming
        get() = when {
            isChunked() -> BodyFraming.CHUNKED
            headers.contains(HttpHeaderNames.CONTENT_LENGTH) -> BodyFraming.LENGTH
            else -> BodyFraming.CONNECTION
        }

    /** Whether the status means that the request did not run; not trusted without proof from the endpoint. */
    val isNotRunStatus: Boolean get() = status in NOT_RUN_STATUSES

    private fun isChunked() =
        headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)

    private companion object {
        val SUCCESS = 200..299
        const val FIRST_SERVER_ERROR = 500
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}

/** Why an endpoint did not run a request. */
enum class EndpointRefusal {
    /** It does not accept such work now. */
    BUSY,

    /** Another endpoint has the address. */
    OTHER_ENDPOINT,

    /** What it asked for in an answer permits no request now, so none was sent. */
    LIMITED,
}

/** The result of sending a request to one endpoint. */
sealed interface AttemptStart {
    /** The endpoint answers; [answer] has to be closed. */
    class Answering(val head: AnswerHead, val answer: OpenAnswer) : AttemptStart

    /**
     * The endpoint did not run the request, or did not answer. [refusal] is null unless it stated why. [isDisconnect]
     * tells that it closed the connection instead of answering.
     */
    class Failed(
        val failure: Failure,
        val refusal: EndpointRefusal? = null,
        val isDisconnect: Boolean = false,
    ) : AttemptStart
}

/** Sends requests to endpoints and reads the heads of their answers. */
class EndpointSender(
    private val connections: EndpointConnections,
    private val dialect: ServingDialect,
    private val limits: EndpointLimits,
    private val restraints: EndpointRestraints,
) {
    /** Sends the caller's [call] according to [dispatch]. */
    suspend fun send(call: HttpCall, dispatch: Dispatch, canReuse: Boolean): AttemptStart {
        val isHeldBack = restraints.timeUntilWork(dispatch.endpoint) > Duration.ZERO
        if (isHeldBack || !limits.tryAcquire(dispatch.endpoint.id)) return limited(dispatch)
        restraints.recordRequest(dispatch.endpoint)
        val sentAt = limits.now()
        var start: AttemptStart? = null
        try {
            return open(call, dispatch, canReuse, sentAt).also { start = it }
        } finally {
            // Also when the caller leaves: the request after a pause then has no outcome, and another one is sent.
            val isSuccess = (start as? AttemptStart.Answering)?.head?.isSuccess ?: false
            restraints.recordOutcome(dispatch.endpoint, isSuccess, sentAt)
        }
    }

    private suspend fun open(
        call: HttpCall,
        dispatch: Dispatch,
        canReuse: Boolean,
        sentAt: MonotonicTime,
    ): AttemptStart {
        val headers = dialect.endpointHeaders(call.headers, dispatch)
        val id = dialect.readRequest(headers).id
        val sent = HttpCall(call.method, call.target, headers, call.body)
        val opened = connections.open(dispatch.endpoint.address, sent, canReuse && id != null, id?.value) {
            dialect.readAnswer(0, it).requestId == id
        }
        return opened.fold(
            { AttemptStart.Failed(it) },
            { answer -> readHead(answer, dispatch, sentAt) },
        )
    }

    /** Frees the prompt that [endpoint] holds as [handle]. */
    suspend fun free(endpoint: EndpointState, handle: String) {
        if (!limits.tryContact(endpoint.endpoint.id)) return
        connections.exchange(endpoint.endpoint.address, dialect.freeHandle(handle), FREE_TIMEOUT)
    }

    private suspend fun readHead(answer: OpenAnswer, dispatch: Dispatch, sentAt: MonotonicTime): AttemptStart {
        var isReturned = false
        try {
            return when (val part = answer.next()) {
                is AnswerPart.Head -> {
                    val head = AnswerHead(part.status, part.headers, dialect.readAnswer(part.status, part.headers))
                    limits.recordAnswer(dispatch.endpoint.id, head.facts, sentAt)
                    restraints.recordAnswer(dispatch.endpoint, head.facts)
                    if (head.facts.hasNotRun || head.facts.isOtherEndpoint) {
                        drain(answer)
                        refused(dispatch, head)
                    } else {
                        isReturned = true
                        AttemptStart.Answering(head, answer)
                    }
                }

                is AnswerPart.Broken -> {
                    AttemptStart.Failed(unknown(dispatch, part.reason), isDisconnect = part.isDisconnect)
                }

                is AnswerPart.Body, AnswerPart.End -> {
                    AttemptStart.Failed(unknown(dispatch, "an answer without a head"))
                }
            }
        } finally {
            if (!isReturned) answer.close()
        }
    }

    /** Reads the short remainder of a refusal, so that its connection can be reused. */
    private suspend fun drain(answer: OpenAnswer) {
        repeat(MAXIMUM_DRAINED_PARTS) {
            val part = answer.next()
            if (part is AnswerPart.End || part is AnswerPart.Broken) return
        }
    }

    private fun limited(dispatch: Dispatch): AttemptStart.Failed {
        val reason = "the endpoint asked for no request now"
        val failure = Failure(Step.CHOOSE_ENDPOINT, peer(dispatch), Effect.NOT_RUN, reason)
        return AttemptStart.Failed(failure, EndpointRefusal.LIMITED)
    }

    private fun refused(dispatch: Dispatch, head: AnswerHead): AttemptStart.Failed {
        val isOther = head.facts.isOtherEndpoint
        val reason = if (isOther) "another endpoint has the address" else "refused by the endpoint"
        val failure = Failure(Step.READ_ANSWER, peer(dispatch), Effect.NOT_RUN, "$reason (status ${head.status})")
        return AttemptStart.Failed(failure, if (isOther) EndpointRefusal.OTHER_ENDPOINT else EndpointRefusal.BUSY)
    }

    private fun unknown(dispatch: Dispatch, reason: String) =
        Failure(Step.READ_ANSWER, peer(dispatch), Effect.UNKNOWN, reason)

    private fun peer(dispatch: Dispatch) = Peer(dispatch.endpoint.address)

    private companion object {
        const val MAXIMUM_DRAINED_PARTS = 4

        /** Freeing releases engine memory early; the engine frees it by itself some seconds later. */
        val FREE_TIMEOUT = 500.milliseconds
    }
}
