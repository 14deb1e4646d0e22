package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.configuration.CallerLimits
import org.nutmegspring.gateway.http.ServerLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The size and time limits for callers, as the configuration sets them.
 *
 * @param configured the limits of the newest configuration, or null before the first
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

/** The limits of the other servers, and of the server for callers before the first configuration. */
internal object PlainServerLimits : ServerLimits {
    override val maximumBodyBytes: Int = 4 * 1024 * 1024
    override val requestTimeout: Duration = 3.seconds
    override val idleTimeout: Duration = 15.seconds
    override val isStopping: Boolean = false
}
