package org.nutmegspring.node.control

import arrow.core.Either
import kotlinx.coroutines.delay
import org.nutmegspring.lease.Duty
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.lease.LeaseAction
import org.nutmegspring.lease.LeaseHolder
import org.nutmegspring.lease.LeaseRecord
import org.nutmegspring.lease.LeaseRole
import org.nutmegspring.lease.LeaseRules
import org.nutmegspring.lease.LeaseState
import org.nutmegspring.lease.LeaseWrite
import org.nutmegspring.lease.VersionedLease
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.agesWithoutSuspension
import kotlin.time.Duration.Companion.milliseconds

/**
 * Acquires, renews and releases the lease of [duty]. Only one coroutine may call [run], but any may call [heldLease].
 *
 * @property desiredRole returns the role of this process in the lease that is desired at present
 * @property ages measures the age of the lease while this process holds it
 * @property canRelease returns whether no action under the lease can still take effect; the lease is held until then
 */
class LeaseManager(
    val duty: Duty,
    self: LeaseHolder,
    private val store: ObjectStore,
    private val clock: MonotonicClock,
    private val rules: LeaseRules,
    private val desiredRole: () -> LeaseRole,
    private val ages: AgeClock = clock.agesWithoutSuspension(),
    private val canRelease: () -> Boolean = { true },
) {
    private val records = TypedObjectStore(store, LeaseRecord.serializer())

    @Volatile
    private var state = LeaseState(self)

    /** Returns the lease if this process holds it at present, or null otherwise. */
    fun heldLease(): HeldLease? = state.validLease(clock.now(), ages)

    /** Manages the lease until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) executeNextAction()
    }

    private suspend fun executeNextAction() {
        val era = store.era ?: return learnEra()
        if (era != state.era) state = rules.onNewEra(state, era, clock.now(), ages)
        when (val action = rules.nextAction(state, effectiveRole(), clock.now(), ages)) {
            is LeaseAction.Read -> read()
            is LeaseAction.Write -> write(action.write)
            is LeaseAction.Wait -> delay((action.until - clock.now()).coerceIn(MINIMUM_WAIT, MAXIMUM_WAIT))
        }
    }

    /** Makes a call whose answer tells the era; what it reads does not matter. */
    private suspend fun learnEra() {
        records.read(duty.key).onLeft { delay(RETRY_DELAY) }
    }

    private fun effectiveRole(): LeaseRole {
        val desired = desiredRole()
        return if (desired == LeaseRole.NONE && heldLease() != null && !canRelease()) LeaseRole.HOLD else desired
    }

    private suspend fun read() {
        when (val found = records.read(duty.keyIn(state.era))) {
            is Either.Left -> handleUnanswered()
            is Either.Right -> state = rules.onObserved(state, found.value?.toLease(), clock.now())
        }
    }

    private suspend fun write(write: LeaseWrite) {
        state = rules.onSend(state, write)
        when (val written = records.write(duty.keyIn(state.era), write.record, write.condition)) {
            is Either.Right -> state = rules.onObserved(state, VersionedLease(written.value, write.record), clock.now())
            is Either.Left -> handleFailedWrite(written.value)
        }
    }

    private suspend fun handleFailedWrite(failure: StoreFailure) {
        val conflict = failure as? StoreFailure.Conflict ?: return handleUnanswered()
        when (val current = conflict.current?.let(records::decode)) {
            null -> state = rules.onObserved(state, null, clock.now())
            is Either.Left -> handleUnanswered()
            is Either.Right -> state = rules.onObserved(state, current.value.toLease(), clock.now())
        }
    }

    private suspend fun handleUnanswered() {
        state = rules.onUnanswered(state)
        delay(RETRY_DELAY)
    }

    private fun StoredValue<LeaseRecord>.toLease() = VersionedLease(version, value)

    private companion object {
        val RETRY_DELAY = 200.milliseconds
        val MINIMUM_WAIT = 1.milliseconds
        val MAXIMUM_WAIT = 500.milliseconds
    }
}
