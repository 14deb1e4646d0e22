package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.configuration.CallerLimits
import org.nutmegspring.gateway.http.ServerLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The size and time limits for callers, as the configuration sets them.
 *
 * @param configured the limits of the newest configuration, or null before the first
 * @param isInstanceStopping whether the instance is stopping
 */
internal class CallerServerLimits(
    private val configured: () -> CallerLimits?,
    private val isInstanceStopping: () -> Boolean,
) : ServerLimits {
    override val maximumBodyBytes: Int get() = configured()?.bodyBytes ?: DefaultServerLimits.maximumBodyBytes
    override val requestTimeout: Duration get() = configured()?.headerTimeout ?: DefaultServerLimits.requestTimeout
    override val idleTimeout: Duration get() = configured()?.idleTimeout ?: DefaultServerLimits.idleTimeout
    override val isStopping: Boolean get() = isInstanceStopping()
}

/** The limits of the servers for readiness, addresses and metrics, whose requests need no body. */
internal object BodilessServerLimits : ServerLimits by DefaultServerLimits {
    /** More than a request to these servers has, which may be refused for a body at once. */
    override val maximumBodyBytes: Int = 16 * 1024
    override val isKeepingBodies: Boolean = false
}

/** The limits of the server for callers before the first configuration. */
internal object DefaultServerLimits : ServerLimits {
    override val maximumBodyBytes: Int = 4 * 1024 * 1024
    override val requestTimeout: Duration = 3.seconds
    override val idleTimeout: Duration = 15.seconds
    override val isStopping: Boolean = false
}
