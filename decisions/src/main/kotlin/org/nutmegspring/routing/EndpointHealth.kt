package org.nutmegspring.routing

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * When an endpoint leaves the set of those that are chosen, and when it is tried again.
 *
 * @property failuresToOpen how many failures without a success between them take the endpoint out
 * @property firstPause how long it stays out the first time; the time doubles with each failed trial
 * @property longestPause the most that it stays out
 * @property trialTimeout how long to wait for the outcome of a trial before the next
 */
data class HealthSetting(
    val failuresToOpen: Int = 2,
    val firstPause: Duration = 1.seconds,
    val longestPause: Duration = 15.seconds,
    val trialTimeout: Duration = 10.seconds,
)

/** A circuit breaker: an endpoint that fails is left out for a while and then tried with one request. */
class EndpointHealth(private val setting: HealthSetting = HealthSetting()) {
    private sealed interface State {
        data class Closed(val failures: Int) : State

        data class Open(val until: MonotonicTime, val pause: Duration) : State

        data class Trial(val until: MonotonicTime, val pause: Duration) : State
    }

    private var state: State = State.Closed(0)

    /** Whether the endpoint is left out, or only tried. */
    val isOut: Boolean get() = state !is State.Closed

    /** Whether work may be sent at [now]. */
    fun permits(now: MonotonicTime): Boolean = when (val current = state) {
        is State.Closed -> true
        is State.Open -> now >= current.until
        is State.Trial -> now >= current.until
    }

    /** Tells that work is sent at [now]. */
    fun started(now: MonotonicTime) {
        state = when (val current = state) {
            is State.Closed -> current
            is State.Open -> State.Trial(now + setting.trialTimeout, current.pause)
            is State.Trial -> State.Trial(now + setting.trialTimeout, current.pause)
        }
    }

    /** Tells that work succeeded. Work that began before the endpoint was left out does not bring it back. */
    fun succeeded() {
        if (state !is State.Open) state = State.Closed(0)
    }

    /** Tells that work failed at [now]. */
    fun failed(now: MonotonicTime) {
        state = when (val current = state) {
            is State.Closed -> {
                val failures = current.failures + 1
                if (failures < setting.failuresToOpen) State.Closed(failures) else open(setting.firstPause, now)
            }

            is State.Open -> {
                current
            }

            is State.Trial -> {
                open(minOf(current.pause * 2, setting.longestPause), now)
            }
        }
    }

    private fun open(pause: Duration, now: MonotonicTime) = State.Open(now + pause, pause)
}
