package org.nutmegspring.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * Returns a copy of these headers without the hop-by-hop headers, those that `Connection` names, and the ones that
 * each connection sets itself (`Content-Length`, `Expect`).
 */
fun HttpHeaders.withoutHopByHopHeaders(): HttpHeaders {
    val copy = copy()
    getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.forEach { copy.remove(it.trim()) }
    HOP_BY_HOP_HEADERS.forEach { copy.remove(it) }
    return copy
}

private val HOP_BY_HOP_HEADERS: List<CharSequence> = listOf(
    HttpHeaderNames.CONNECTION,
    "Keep-Alive",
    "Proxy-Connection",
    HttpHeaderNames.PROXY_AUTHENTICATE,
    HttpHeaderNames.PROXY_AUTHORIZATION,
    HttpHeaderNames.TE,
    HttpHeaderNames.TRAILER,
    HttpHeaderNames.TRANSFER_ENCODING,
    HttpHeaderNames.UPGRADE,
    HttpHeaderNames.CONTENT_LENGTH,
    HttpHeaderNames.EXPECT,
)
