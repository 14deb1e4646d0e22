package org.nutmegspring.gateway.wire

import io.netty.handler.codec.http.HttpHeaders
import org.nutmegspring.gateway.http.HttpCall
import org.nutmegspring.identity.DataCentreId

/** A caller's question which addresses to use. [dataCentre] is the caller's, null when it names none. */
data class AddressQuery(val dataCentre: DataCentreId?)

/** Translates between the heads of requests and answers and the gateway's types. It makes no decisions. */
interface ServingDialect {
    /** Parses the head of a caller's request. */
    fun readRequest(headers: HttpHeaders): RequestFacts

    /** Returns [callerHeaders] as they are sent on for [dispatch]: without the key, and with the gateway's own. */
    fun endpointHeaders(callerHeaders: HttpHeaders, dispatch: Dispatch): HttpHeaders

    /** Parses the head of an endpoint's answer with [status]. */
    fun readAnswer(status: Int, headers: HttpHeaders): AnswerFacts

    /** Returns the handle in the answer of an engine that has prefilled a prompt, or null when it cannot be parsed. */
    fun readPrefilled(body: ByteArray): PrefilledPrompt?

    /** Returns the call that frees the prompt held as [handle]. */
    fun freeHandle(handle: String): HttpCall

    /** Whether [target] asks whether this instance is ready. */
    fun isReadinessQuery(target: String): Boolean

    /** Returns the question in [target] which addresses to use, or null if it is another one. */
    fun readAddressQuery(target: String): AddressQuery?

    /** Returns the answer that lists [addresses], which callers may cache for [keepSeconds]. */
    fun addressAnswer(addresses: List<String>, keepSeconds: Int): ByteArray
}
