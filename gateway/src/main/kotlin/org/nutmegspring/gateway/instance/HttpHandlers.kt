package org.nutmegspring.gateway.instance

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import org.nutmegspring.gateway.http.HttpCall
import org.nutmegspring.gateway.http.RequestHandler
import org.nutmegspring.gateway.wire.ServingDialect
import org.nutmegspring.membership.CallerPlacement
import org.nutmegspring.membership.CallerTarget

/** Answers readiness queries: 200 if the instance accepts requests, otherwise 503. */
internal fun createReadinessHandler(dialect: ServingDialect, isReady: () -> Boolean) = RequestHandler { exchange ->
    val status = when {
        !dialect.isReadinessQuery(exchange.call.target) -> STATUS_NOT_FOUND
        isReady() -> STATUS_OK
        else -> STATUS_UNAVAILABLE
    }
    exchange.respond(status, DefaultHttpHeaders(), HttpCall.NO_BODY)
}

/** Answers address queries with those of the instances in [targets] that callers in their data centre should use. */
internal fun createDirectoryHandler(
    dialect: ServingDialect,
    keepSeconds: () -> Int,
    targets: () -> List<CallerTarget>,
) = RequestHandler { exchange ->
    val query = dialect.readAddressQuery(exchange.call.target)
    val addresses = query?.let { CallerPlacement.choose(targets(), it.dataCentre, MAXIMUM_ADDRESSES) }.orEmpty()
    if (addresses.isEmpty()) {
        val status = if (query == null) STATUS_NOT_FOUND else STATUS_UNAVAILABLE
        exchange.respond(status, DefaultHttpHeaders(), HttpCall.NO_BODY)
    } else {
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        exchange.respond(STATUS_OK, headers, dialect.addressAnswer(addresses, keepSeconds()))
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
