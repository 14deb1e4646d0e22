package org.nutmegspring.storeclient

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.VersionedObject

/** The URL paths of the platform's API. */
object PlatformPaths {
    /** One object, identified by the query parameter `key`. */
    const val OBJECT: String = "/v1/object"

    /** All objects whose keys start with the query parameter `prefix`. */
    const val OBJECTS: String = "/v1/objects"

    /** Waits up to `timeoutMillis` until the version of the object `key` is newer than `after`. */
    const val WATCH: String = "/v1/watch"

    /** The list of instances. */
    const val INSTANCES: String = "/v1/instances"

    /** The list of endpoints. */
    const val ENDPOINTS: String = "/v1/endpoints"

    /** The state of a pool of endpoints. The request body identifies the pool. */
    const val POOL: String = "/v1/pool"

    /** Places an order for endpoints. */
    const val ENDPOINT_ORDERS: String = "/v1/endpoint-orders"

    /** Accepts usage reports. */
    const val USAGE_REPORTS: String = "/v1/usage-reports"
}

/** The response to a write that took effect. */
@Serializable
data class WriteReply(val version: ObjectVersion)

/** The response to a write whose condition did not hold. [current] is the stored object, or null if there is none. */
@Serializable
data class ConflictReply(val current: VersionedObject?)

/** The JSON format of the platform's API. */
val platformJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}
