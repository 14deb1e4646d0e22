package org.nutmegspring.gateway.wire

import io.netty.handler.codec.http.HttpHeaders
import org.nutmegspring.gateway.http.HttpCall

/** Translates between heads of requests and answers and the types of the gateway. It decides nothing. */
interface ServingDialect {
    /** Returns what the head of a caller's request tells. */
    fun readRequest(headers: HttpHeaders): RequestFacts

    /** Returns [callerHeaders] as they are sent on for [dispatch]: without the key, and with the gateway's own. */
    fun endpointHeaders(callerHeaders: HttpHeaders, dispatch: Dispatch): HttpHeaders

    /** Returns what the head of an endpoint's answer with [status] tells. */
    fun readAnswer(status: Int, headers: HttpHeaders): AnswerFacts

    /** Returns the handle in the answer of an engine that has read a prompt, or null when it is unreadable. */
    fun readPrefilled(body: ByteArray): PrefilledPrompt?

    /** Returns the call that frees the prompt held as [handle]. */
    fun freeHandle(handle: String): HttpCall

    /** Whether [target] asks whether this instance is ready. */
    fun isReadinessQuery(target: String): Boolean

    /** Whether [target] asks which addresses to use. */
    fun isAddressQuery(target: String): Boolean

    /** Returns the answer that names [addresses], to be kept for [keepSeconds]. */
    fun addressAnswer(addresses: List<String>, keepSeconds: Int): ByteArray
}
