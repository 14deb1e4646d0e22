package org.nutmegspring.gateway.observe

import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** The phases of a planned stop, in order. */
enum class StopPhase {
    /** Every request is taken, since all that may come are sure to be answered before the end. */
    ACCEPTING,

    /** Requests that may outlast the stop are refused. */
    REFUSING,

    /** Requests that still ran got their final answers, which are being written. */
    ENDING,

    /** The process exits. */
    EXITING,
}

/**
 * What an instance holds for its callers at one moment.
 *
 * @property running the requests that are being forwarded
 * @property connections the open connections of callers
 * @property receiving the connections on which a part of a request was received
 * @property queued the requests that were read and wait behind another one on their connection
 * @property unwritten the connections on which an answer waits for its caller to read
 */
data class CallerLoad(
    val running: Int,
    val connections: Int,
    val receiving: Int,
    val queued: Int,
    val unwritten: Int,
)

/**
 * What became of requests since a planned stop began.
 *
 * @property delivered the requests whose answer was delivered whole
 * @property refused the requests that were refused and did not run
 * @property failed the requests that failed, and may have run, and whose caller was told so
 * @property brokenOff the requests whose answer was interrupted
 * @property abandoned the requests whose caller left
 * @property unanswered the requests that were read and whose connection ended before they were handled
 */
data class StopOutcomes(
    val delivered: Int = 0,
    val refused: Int = 0,
    val failed: Int = 0,
    val brokenOff: Int = 0,
    val abandoned: Int = 0,
    val unanswered: Int = 0,
) {
    /** Returns these counts with one more request that ended as [outcome]. */
    fun plus(outcome: RequestOutcome): StopOutcomes = when (outcome) {
        RequestOutcome.DELIVERED -> copy(delivered = delivered + 1)
        RequestOutcome.REFUSED -> copy(refused = refused + 1)
        RequestOutcome.FAILED -> copy(failed = failed + 1)
        RequestOutcome.BROKEN_OFF -> copy(brokenOff = brokenOff + 1)
        RequestOutcome.ABANDONED -> copy(abandoned = abandoned + 1)
    }
}

/** The phase of a planned stop and the time since it began. */
data class StopProgress(val phase: StopPhase, val elapsed: Duration)

/** Follows a planned stop: one log line for each phase, with what the instance held and what became of requests. */
class PlannedStopLog(
    private val clock: MonotonicClock,
    private val loopDelay: EventLoopDelay,
    private val log: DecisionLog,
    private val readLoad: () -> CallerLoad,
) {
    private var startedAt: MonotonicTime? = null
    private var phase = StopPhase.ACCEPTING

    /** What became of requests since the stop began. */
    var outcomes: StopOutcomes = StopOutcomes()
        private set

    /** The progress of the stop, or null while none has begun. */
    val progress: StopProgress? get() = startedAt?.let { StopProgress(phase, clock.now() - it) }

    /** Records that the stop begins. */
    fun begin() {
        startedAt = clock.now()
        write()
    }

    /** Records that the stop has reached [reached], unless it had before. */
    fun enter(reached: StopPhase) {
        if (startedAt == null || reached <= phase) return
        phase = reached
        write()
    }

    /** Counts a request that ended as [outcome], if a stop has begun. */
    fun recordEnd(outcome: RequestOutcome) {
        if (startedAt != null) outcomes = outcomes.plus(outcome)
    }

    /** Counts a request that was read and whose connection ended before it was handled, if a stop has begun. */
    fun recordUnanswered() {
        if (startedAt != null) outcomes = outcomes.copy(unanswered = outcomes.unanswered + 1)
    }

    private fun write() {
        val current = progress ?: return
        log.record(DecisionEvent.StopProgressed(current, readLoad(), outcomes, loopDelay.readDelay(clock.now())))
    }
}
