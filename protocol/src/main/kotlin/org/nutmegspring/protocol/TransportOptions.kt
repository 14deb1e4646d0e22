package org.nutmegspring.protocol

import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Finds the address, `host:port`, at which an instance accepts connections of the inner protocol. */
fun interface InnerAddresses {
    /** Returns the inner address of [instance], or null when it is not known. */
    fun innerAddress(instance: InstanceId): String?
}

/**
 * The options of a transport.
 *
 * @property listenHost the IP number to listen on
 * @property listenPort the port to listen on, or 0 for any free one
 * @property maximumFrameBytes the longest frame that is sent or accepted
 * @property concurrentRequests how many requests of one connection are handled at once
 */
data class TransportOptions(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val listenHost: String,
    val listenPort: Int,
    val addresses: InnerAddresses,
    val connectTimeout: Duration = 1.seconds,
    val maximumFrameBytes: Int = MAXIMUM_FRAME_BYTES,
    val concurrentRequests: Int = CONCURRENT_REQUESTS,
)

private const val MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024
private const val CONCURRENT_REQUESTS = 256
