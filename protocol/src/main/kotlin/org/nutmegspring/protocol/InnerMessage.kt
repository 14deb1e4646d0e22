package org.nutmegspring.protocol

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.InstanceId
import kotlin.time.Duration

/** A request from one instance to another. Each subsystem declares its requests in a separate file of this package. */
@Serializable
sealed interface InnerRequest

/** A reply to an [InnerRequest]. */
@Serializable
sealed interface InnerReply

/** Reports that the receiver does not support [request], for example because it runs an older version. */
@Serializable
data class UnsupportedReply(val request: String) : InnerReply

/** Reports that the receiver failed to handle [request]. Whether the request had an effect is not known. */
@Serializable
data class HandlerFailedReply(val request: String) : InnerReply

/** Handles the requests of one subsystem. */
fun interface InnerHandler {
    /** Handles [request] from the instance [from], or returns null when it belongs to another handler. */
    suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply?
}

/** Exchanges messages between the instances of the system. */
interface InnerNetwork {
    /** Adds [handler] after the existing ones. An incoming request is offered to each in turn until one handles it. */
    fun addHandler(handler: InnerHandler)

    /**
     * Sends [request] to the instance [to] and waits at most [timeout] for the reply.
     *
     * An [UnsupportedReply] or [HandlerFailedReply] is returned as a failure.
     */
    suspend fun exchange(to: InstanceId, request: InnerRequest, timeout: Duration): Either<Failure, InnerReply>
}
