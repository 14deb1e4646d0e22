package org.nutmegspring.gateway.duties

import arrow.core.Either
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.store.DutyCalls
import org.nutmegspring.gateway.store.DutyHolder
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Makes the calls that are reserved for the holder of the duties, and logs each with its outcome. */
class DutyCaller(
    private val self: InstanceId,
    private val heldLease: () -> HeldLease?,
    private val calls: DutyCalls,
    val clock: MonotonicClock,
    private val ages: AgeClock,
    private val log: DecisionLog,
) {
    private var callsInFlight = 0
    private var lastCallEndedAt: MonotonicTime? = null

    /** Whether this instance holds the duties. */
    val isHolding: Boolean get() = heldLease() != null

    /**
     * Makes a call for [duty] about [subject], provided that the lease stays valid until the call times out.
     *
     * Returns whether the platform accepted it. A call that was not accepted may still be carried out.
     */
    suspend fun call(
        duty: String,
        subject: String,
        send: suspend DutyCalls.(DutyHolder, Duration) -> Either<StoreFailure, Unit>,
    ): Boolean {
        val lease = heldLease() ?: return false
        if (!lease.isValidThrough(ages, CALL_TIMEOUT)) return false
        callsInFlight++
        val result = try {
            calls.send(DutyHolder(self, lease.fencing), CALL_TIMEOUT)
        } finally {
            callsInFlight--
            lastCallEndedAt = clock.now()
        }
        val outcome = result.fold({ it.toString() }, { "accepted" })
        log.record(DecisionEvent.DutyCall(duty, subject, lease.fencing, outcome))
        return result.isRight()
    }

    /** Whether no call is in flight and the last one ended long enough ago for all its messages to have arrived. */
    fun isDrained(): Boolean =
        callsInFlight == 0 && lastCallEndedAt?.let { clock.now() - it >= DRAIN_TIME } ?: true

    private companion object {
        /** Well below the lease duration, so that a call ends before another instance can hold the lease. */
        val CALL_TIMEOUT = 800.milliseconds

        /** Many times the maximum network delay to the platform. */
        val DRAIN_TIME = 1.seconds
    }
}
