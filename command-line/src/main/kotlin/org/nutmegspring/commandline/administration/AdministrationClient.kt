package org.nutmegspring.commandline.administration

import io.ktor.client.HttpClient
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import org.nutmegspring.node.http.SocketEngine

/** One call of the administration API. [path] follows `/admin/v1/`. */
internal data class AdministrationCall(
    val method: HttpMethod,
    val path: String,
    val body: String? = null,
    val headers: Map<String, String> = emptyMap(),
)

/** The answer to an [AdministrationCall]. */
internal data class AdministrationReply(
    val status: Int,
    val body: String,
) {
    /** Whether the call succeeded. */
    val succeeded: Boolean get() = status in SUCCESSES

    private companion object {
        val SUCCESSES = 200..299
    }
}

/** Calls the administration API of the instance at [address] with an operator's [token]. */
internal class AdministrationClient(
    private val address: String,
    private val token: String,
) : AutoCloseable {
    private val client = HttpClient(SocketEngine) {
        install(HttpTimeout) { requestTimeoutMillis = REQUEST_TIMEOUT_MILLISECONDS }
    }

    /** Makes [call]. */
    suspend fun execute(call: AdministrationCall): AdministrationReply {
        val response = client.request("http://$address/admin/v1/${call.path}") {
            method = call.method
            header(HttpHeaders.Authorization, "Bearer $token")
            call.headers.forEach { (name, value) -> header(name, value) }
            call.body?.let { setBody(it) }
        }
        return AdministrationReply(response.status.value, response.bodyAsText())
    }

    override fun close() = client.close()

    private companion object {
        const val REQUEST_TIMEOUT_MILLISECONDS = 30_000L
    }
}
