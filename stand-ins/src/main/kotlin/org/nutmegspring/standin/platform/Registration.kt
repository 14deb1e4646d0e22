package org.nutmegspring.standin.platform

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.http.isSuccess
import kotlinx.serialization.KSerializer
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.storeclient.PlatformPaths
import org.nutmegspring.storeclient.platformJson

/** Adds [endpoint] to the list of the platform stand-in at [platformAddress]. */
suspend fun registerEndpoint(platformAddress: String, endpoint: ListedEndpoint) =
    put(platformAddress, PlatformPaths.ENDPOINTS, ListedEndpoint.serializer(), endpoint)

/** Adds [instance] to the list of the platform stand-in at [platformAddress]. */
suspend fun registerInstance(platformAddress: String, instance: ListedInstance) =
    put(platformAddress, PlatformPaths.INSTANCES, ListedInstance.serializer(), instance)

private suspend fun <T> put(address: String, path: String, serializer: KSerializer<T>, value: T) {
    HttpClient(CIO).use { client ->
        val response = client.put("http://$address$path") { setBody(platformJson.encodeToString(serializer, value)) }
        check(response.status.isSuccess()) { "the platform at $address answered ${response.status}" }
    }
}
