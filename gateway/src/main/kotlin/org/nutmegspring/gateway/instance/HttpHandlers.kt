package org.nutmegspring.gateway.instance

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import org.nutmegspring.gateway.http.HttpCall
import org.nutmegspring.gateway.http.RequestHandler
import org.nutmegspring.gateway.wire.ServingDialect

/** Answers readiness queries: 200 if the instance accepts requests, otherwise 503. */
internal fun createReadinessHandler(dialect: ServingDialect, isReady: () -> Boolean) = RequestHandler { exchange ->
    val status = when {
        !dialect.isReadinessQuery(exchange.call.target) -> STATUS_NOT_FOUND
        isReady() -> STATUS_OK
        else -> STATUS_UNAVAILABLE
    }
    exchange.respond(status, DefaultHttpHeaders(), HttpCall.NO_BODY)
}

/** Answers address queries with the instances that callers should use. */
internal fun createDirectoryHandler(
    dialect: ServingDialect,
    keepSeconds: () -> Int,
    addresses: () -> List<String>,
) = RequestHandler { exchange ->
    val known = addresses()
    val isQuery = dialect.isAddressQuery(exchange.call.target)
    if (!isQuery || known.isEmpty()) {
        exchange.respond(if (isQuery) STATUS_UNAVAILABLE else STATUS_NOT_FOUND, DefaultHttpHeaders(), HttpCall.NO_BODY)
    } else {
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        exchange.respond(STATUS_OK, headers, dialect.addressAnswer(known.take(MAXIMUM_ADDRESSES), keepSeconds()))
    }
}

/** Serves the metrics for scraping. */
internal fun createMetricsHandler(scrape: () -> String) = RequestHandler { exchange ->
    if (exchange.call.target.substringBefore('?') == "/metrics") {
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4")
        exchange.respond(STATUS_OK, headers, scrape().encodeToByteArray())
    } else {
        exchange.respond(STATUS_NOT_FOUND, DefaultHttpHeaders(), HttpCall.NO_BODY)
    }
}

private const val STATUS_OK = 200
private const val STATUS_NOT_FOUND = 404
private const val STATUS_UNAVAILABLE = 503

/** Callers read at most this many addresses from one answer. */
private const val MAXIMUM_ADDRESSES = 64
