package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.configuration.CallerLimits
import org.nutmegspring.gateway.http.ServerLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What callers may send and how long they may take: as the configuration says.
 *
 * @param configured the limits of the newest configuration, null before the first
 * @param stopping whether the instance is stopping
 */
internal class CallerServerLimits(
    private val configured: () -> CallerLimits?,
    private val stopping: () -> Boolean,
) : ServerLimits {
    override val maximumBodyBytes: Int get() = configured()?.bodyBytes ?: PlainServerLimits.maximumBodyBytes
    override val requestTimeout: Duration get() = configured()?.headerTimeout ?: PlainServerLimits.requestTimeout
    override val idleTimeout: Duration get() = configured()?.idleTimeout ?: PlainServerLimits.idleTimeout
    override val isStopping: Boolean get() = stopping()
}

/** The limits of the other servers, and of all before the first configuration. */
internal object PlainServerLimits : ServerLimits {
    override val maximumBodyBytes: Int = 4 * 1024 * 1024
    override val requestTimeout: Duration = 3.seconds
    override val idleTimeout: Duration = 15.seconds
    override val isStopping: Boolean = false
}
