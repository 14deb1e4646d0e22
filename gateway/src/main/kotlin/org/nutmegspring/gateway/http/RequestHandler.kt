package org.nutmegspring.gateway.http

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/** Handles the requests of callers. */
fun interface RequestHandler {
    /** Answers [exchange]. The call is cancelled when the caller closes its connection. */
    suspend fun handle(exchange: CallerExchange)

    /** Whether the body of a request for [target] with [headers] is needed; otherwise it is dropped as it arrives. */
    fun readsBody(target: String, headers: HttpHeaders): Boolean = true

    /** Learns of a request that was read and whose connection ended before it was handled. */
    fun onUnanswered(request: UnansweredRequest) = Unit
}

/**
 * A request that was read and whose connection ended before it was handled.
 *
 * @property call the request
 * @property peer the address of the caller
 * @property waited how long ago its last byte was read
 * @property isClosedByCaller whether the caller ended the connection
 */
class UnansweredRequest(
    val call: HttpCall,
    val peer: String,
    val waited: Duration,
    val isClosedByCaller: Boolean,
)
