package org.nutmegspring.routing

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The thresholds and times of the circuit breaker of an endpoint.
 *
 * @property failureThreshold the number of consecutive failures that open the circuit
 * @property initialOpenDuration how long the circuit stays open the first time; doubles with each failed probe
 * @property maximumOpenDuration the upper bound of the time for which the circuit stays open
 * @property probeTimeout how long to wait for the outcome of a probe before another one is sent
 */
data class EndpointHealthSettings(
    val failureThreshold: Int = 2,
    val initialOpenDuration: Duration = 1.seconds,
    val maximumOpenDuration: Duration = 15.seconds,
    val probeTimeout: Duration = 10.seconds,
)

/** A circuit breaker: a failing endpoint gets no requests for a while and is then probed with a single request. */
class EndpointHealth(private val settings: EndpointHealthSettings = EndpointHealthSettings()) {
    private sealed interface State {
        data class Closed(val failures: Int) : State

        data class Open(val until: MonotonicTime, val openDuration: Duration) : State

        data class HalfOpen(val until: MonotonicTime, val openDuration: Duration) : State
    }

    private var state: State = State.Closed(0)

    /** Whether the circuit is open or half-open. */
    val isTripped: Boolean get() = state !is State.Closed

    /** Returns whether a request may be sent at [now]. */
    fun canSend(now: MonotonicTime): Boolean = when (val current = state) {
        is State.Closed -> true
        is State.Open -> now >= current.until
        is State.HalfOpen -> now >= current.until
    }

    /** Records that a request is sent at [now]. */
    fun recordStart(now: MonotonicTime) {
        state = when (val current = state) {
            is State.Closed -> current
            is State.Open -> State.HalfOpen(now + settings.probeTimeout, current.openDuration)
            is State.HalfOpen -> State.HalfOpen(now + settings.probeTimeout, current.openDuration)
        }
    }

    /** Records that a request succeeded. A success while the circuit is open, of an earlier request, is ignored. */
    fun recordSuccess() {
        if (state !is State.Open) state = State.Closed(0)
    }

    /** Records that a request failed at [now]. */
    fun recordFailure(now: MonotonicTime) {
        state = when (val current = state) {
            is State.Closed -> {
                val failures = current.failures + 1
                if (failures < settings.failureThreshold) {
                    State.Closed(failures)
                } else {
                    open(settings.initialOpenDuration, now)
                }
            }

            is State.Open -> {
                current
            }

            is State.HalfOpen -> {
                open(minOf(current.openDuration * 2, settings.maximumOpenDuration), now)
            }
        }
    }

    private fun open(openDuration: Duration, now: MonotonicTime) = State.Open(now + openDuration, openDuration)
}
