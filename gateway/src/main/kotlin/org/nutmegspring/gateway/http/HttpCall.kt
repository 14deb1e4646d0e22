package org.nutmegspring.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders

/** A request as it is written to a connection. [target] is the path with its query, exactly as it is sent. */
class HttpCall(
    val method: String,
    val target: String,
    val headers: HttpHeaders = DefaultHttpHeaders(),
    val body: ByteArray = EMPTY,
) {
    /** Holds the empty body. */
    companion object {
        /** A body without bytes. */
        val EMPTY = ByteArray(0)
    }
}

/** A whole answer. */
class HttpAnswer(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteArray,
)
