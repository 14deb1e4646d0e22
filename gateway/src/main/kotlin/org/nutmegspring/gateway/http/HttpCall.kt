package org.nutmegspring.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders

/**
 * An HTTP request. [target] is the path with its query, exactly as it is sent.
 *
 * @property isBodyDropped whether the request had a body, which its handler had not asked for
 */
class HttpCall(
    val method: String,
    val target: String,
    val headers: HttpHeaders = DefaultHttpHeaders(),
    val body: ByteArray = NO_BODY,
    val isBodyDropped: Boolean = false,
) {
    /** Holds the default body. */
    companion object {
        /** The empty body. */
        val NO_BODY = ByteArray(0)
    }
}

/** A complete HTTP response. */
class HttpAnswer(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteArray,
)
