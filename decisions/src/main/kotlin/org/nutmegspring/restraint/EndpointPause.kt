package org.nutmegspring.restraint

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The pause that one endpoint asked for with a refusal. Nothing is sent before it has passed. Then one request is sent,
 * and more only after its success.
 */
class EndpointPause {
    private sealed interface State {
        /** Requests are sent freely. */
        data object None : State

        /** Nothing is sent before [until], then one request. */
        data class Paused(val until: MonotonicTime) : State

        /** The one request was sent at [sentAt], and its outcome is not known. */
        data class Trial(val sentAt: MonotonicTime) : State
    }

    private var state: State = State.None

    /** Whether requests are sent freely. */
    val isOver: Boolean get() = state == State.None

    /** Returns how long after [now] a request may be sent; an estimate while the outcome of the one is awaited. */
    fun timeUntilRequest(now: MonotonicTime): Duration = when (val current = state) {
        State.None -> Duration.ZERO
        is State.Paused -> (current.until - now).coerceAtLeast(Duration.ZERO)
        is State.Trial -> OUTCOME_PAUSE
    }

    /** Records that a request is about to be sent at [now]. */
    fun recordRequest(now: MonotonicTime) {
        if (state is State.Paused) state = State.Trial(now)
    }

    /** Records that the endpoint asked for a pause of [asked]. A longer one that it asked for before still holds. */
    fun recordAsked(asked: Duration, now: MonotonicTime) {
        val until = now + asked.coerceIn(Duration.ZERO, MAXIMUM_PAUSE)
        state = State.Paused((state as? State.Paused)?.let { maxOf(it.until, until) } ?: until)
    }

    /** Records the outcome of a request that was sent at [sentAt]. Requests from before the pause do not end it. */
    fun recordOutcome(isSuccess: Boolean, sentAt: MonotonicTime, now: MonotonicTime) {
        val current = state
        if (current !is State.Trial || sentAt < current.sentAt) return
        state = if (isSuccess) State.None else State.Paused(now + FAILED_TRIAL_PAUSE)
    }

    /** Holds the maximum. */
    companion object {
        /** Longer pauses count as this one, so that a false value does not keep an endpoint unused for hours. */
        val MAXIMUM_PAUSE: Duration = 60.seconds

        /** As long as the first pause after failures of an endpoint. */
        private val FAILED_TRIAL_PAUSE = 500.milliseconds

        /** About the time of a request. */
        private val OUTCOME_PAUSE = 100.milliseconds
    }
}
