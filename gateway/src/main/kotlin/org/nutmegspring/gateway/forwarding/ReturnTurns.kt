package org.nutmegspring.gateway.forwarding

import org.nutmegspring.admission.ReturnSchedule
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.placement.EnginePlan
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells refused callers when to return, one after the other.
 *
 * @param countInstances returns the number of instances, each of which spreads the callers that it refuses
 */
class ReturnTurns(
    private val clock: MonotonicClock,
    private val countInstances: () -> Int,
) {
    private val schedules = HashMap<ServiceId, ReturnSchedule>()

    /**
     * Returns when the caller of [run] may return, whose [plan] was refused. The queues of its [engines] engines are
     * short enough after [earliest].
     */
    fun book(run: RequestRun, plan: EnginePlan, earliest: Duration, engines: Int): Duration {
        val work = (plan.expectedFirstOutputMilliseconds - plan.waitMilliseconds).milliseconds
        val turn = work * countInstances() / maxOf(1, engines)
        return schedules.getOrPut(run.admitted.service, ::ReturnSchedule)
            .book(run.admitted.urgency, earliest, turn, clock.now())
    }
}
