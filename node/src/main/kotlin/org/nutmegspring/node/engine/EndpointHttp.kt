package org.nutmegspring.node.engine

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.opentelemetry.context.Context
import org.nutmegspring.node.http.SocketEngine
import org.nutmegspring.node.observe.Telemetry
import org.nutmegspring.node.settings.EndpointSettings

/**
 * Returns the HTTP client for calls to endpoints. [settings] limit the time to connect and the time between two
 * received packets; there is no limit for a request as a whole.
 */
fun createEndpointHttpClient(settings: EndpointSettings): HttpClient = HttpClient(SocketEngine) {
    expectSuccess = false
    followRedirects = false
    install(HttpTimeout) {
        connectTimeoutMillis = settings.connectTimeoutMilliseconds
        socketTimeoutMillis = settings.silenceTimeoutMilliseconds
    }
}

/** Adds the trace [context] to the headers of this request. */
internal fun HttpRequestBuilder.injectTraceContext(telemetry: Telemetry, context: Context) {
    telemetry.propagators.textMapPropagator.inject(context, this) { builder, name, value ->
        builder?.headers?.set(name, value)
    }
}
