package org.nutmegspring.standin.platform

import kotlinx.serialization.Serializable

/**
 * The faults that the platform stand-in is told to show.
 *
 * @property down every call is answered by 503 and has no effect
 * @property delayMilliseconds how long each call waits before it takes effect
 * @property lostReplies how many of the next writes take effect and close the connection without a reply
 * @property listLagMilliseconds how old the lists are
 */
@Serializable
data class PlatformFaults(
    val down: Boolean = false,
    val delayMilliseconds: Long = 0,
    val lostReplies: Int = 0,
    val listLagMilliseconds: Long = 0,
)

/** Calls that the platform stand-in has counted. A waiting watch counts as one read. */
@Serializable
data class PlatformCounters(
    val reads: Long,
    val writes: Long,
    val refused: Long,
)
