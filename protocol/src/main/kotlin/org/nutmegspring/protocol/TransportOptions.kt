package org.nutmegspring.protocol

import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Looks up the address at which an instance accepts connections of the inner protocol. */
fun interface InnerAddresses {
    /** Returns the inner address of [instance] as `host:port`, or null when it is not known. */
    fun innerAddress(instance: InstanceId): String?
}

/**
 * The options of an [InnerTransport].
 *
 * @property listenHost the IP address to listen on
 * @property listenPort the port to listen on, or 0 for any free one
 * @property connectTimeout the time limit for opening a connection, and for the first frame of an accepted one
 * @property maximumFrameBytes the maximum length of a sent or received frame, without its length prefix
 * @property maximumConcurrentRequests the maximum number of requests of one connection that are handled concurrently
 */
data class TransportOptions(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val listenHost: String,
    val listenPort: Int,
    val addresses: InnerAddresses,
    val connectTimeout: Duration = 1.seconds,
    val maximumFrameBytes: Int = MAXIMUM_FRAME_BYTES,
    val maximumConcurrentRequests: Int = MAXIMUM_CONCURRENT_REQUESTS,
)

private const val MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024
private const val MAXIMUM_CONCURRENT_REQUESTS = 256
