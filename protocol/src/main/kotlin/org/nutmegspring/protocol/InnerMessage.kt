package org.nutmegspring.protocol

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.InstanceId
import kotlin.time.Duration

/** A request from one instance to another. Each concern declares its requests in a file of its own in this package. */
@Serializable
sealed interface InnerRequest

/** A reply to an [InnerRequest]. */
@Serializable
sealed interface InnerReply

/** Says that the receiver handles no such request, for example because it runs an older version. */
@Serializable
data class UnsupportedReply(val request: String) : InnerReply

/** Says that the receiver's handler of a [request] failed. Whether it had an effect is not known. */
@Serializable
data class HandlerFailedReply(val request: String) : InnerReply

/** Handles the requests of one concern. Returns null when the request belongs to another handler. */
fun interface InnerHandler {
    /** Handles [request], which came from the instance [from]. */
    suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply?
}

/** Carries messages between the instances of the system. */
interface InnerNetwork {
    /** Adds [handler] to those that are asked, in order of addition, to handle incoming requests. */
    fun addHandler(handler: InnerHandler)

    /**
     * Sends [request] to the instance [to] and waits at most [timeout] for the reply.
     *
     * An [UnsupportedReply] or [HandlerFailedReply] is returned as a failure.
     */
    suspend fun exchange(to: InstanceId, request: InnerRequest, timeout: Duration): Either<Failure, InnerReply>
}
