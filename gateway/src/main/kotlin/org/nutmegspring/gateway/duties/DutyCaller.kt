package org.nutmegspring.gateway.duties

import arrow.core.Either
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.store.DutyCalls
import org.nutmegspring.gateway.store.DutyHolder
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Makes calls that only the holder of the duties may make, and logs each with its outcome. */
class DutyCaller(
    private val self: InstanceId,
    private val held: () -> HeldLease?,
    private val calls: DutyCalls,
    val clock: MonotonicClock,
    private val log: DecisionLog,
) {
    private var callsUnderWay = 0
    private var lastCallEndedAt: MonotonicTime? = null

    /** Whether this instance holds the duties. */
    val isHolding: Boolean get() = held() != null

    /**
     * Makes a call under [duty] about [subject] when the lease covers it to its end.
     *
     * Returns whether the platform took it. A call that was not taken may still be carried out.
     */
    suspend fun call(
        duty: String,
        subject: String,
        send: suspend DutyCalls.(DutyHolder, Duration) -> Either<StoreFailure, Unit>,
    ): Boolean {
        val lease = held() ?: return false
        if (!lease.isValidThrough(clock.now(), CALL_TIMEOUT)) return false
        callsUnderWay++
        val sent = try {
            calls.send(DutyHolder(self, lease.fencing), CALL_TIMEOUT)
        } finally {
            callsUnderWay--
            lastCallEndedAt = clock.now()
        }
        val outcome = sent.fold({ it.toString() }, { "accepted" })
        log.record(DecisionEvent.DutyCall(duty, subject, lease.fencing, outcome))
        return sent.isRight()
    }

    /** Whether the last call has ended so long ago that nothing of it is still on its way. */
    fun isQuiet(): Boolean =
        callsUnderWay == 0 && lastCallEndedAt?.let { clock.now() - it >= QUIET_TIME } ?: true

    private companion object {
        /** Well below the lease, so that a call has ended before another instance may hold it. */
        val CALL_TIMEOUT = 800.milliseconds

        /** Many times the longest way to the platform. */
        val QUIET_TIME = 1.seconds
    }
}
