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
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration.Companion.milliseconds

/**
 * Takes, renews and releases the lease of one [duty]. [run] is called by one coroutine; [held] by any.
 *
 * @property wish what this process wants of the lease at the moment
 * @property mayRelease whether nothing that was done under the lease can still have an effect
 */
class LeaseKeeper(
    val duty: Duty,
    self: LeaseHolder,
    store: ObjectStore,
    private val clock: MonotonicClock,
    private val rules: LeaseRules,
    private val wish: () -> LeaseRole,
    private val mayRelease: () -> Boolean = { true },
) {
    private val records = StoredValues(store, LeaseRecord.serializer())

    @Volatile
    private var state = LeaseState(self)

    /** Returns the lease when this process holds it now. */
    fun held(): HeldLease? = state.held?.takeIf { it.isValid(clock.now()) }

    /** Keeps the lease until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) act()
    }

    private suspend fun act() {
        when (val action = rules.nextAction(state, currentWish(), clock.now())) {
            is LeaseAction.Read -> read()
            is LeaseAction.Write -> write(action.write)
            is LeaseAction.Wait -> delay((action.until - clock.now()).coerceIn(MINIMUM_WAIT, MAXIMUM_WAIT))
        }
    }

    private fun currentWish(): LeaseRole {
        val wanted = wish()
        return if (wanted == LeaseRole.NONE && held() != null && !mayRelease()) LeaseRole.HOLD else wanted
    }

    private suspend fun read() {
        when (val found = records.read(duty.key)) {
            is Either.Left -> unanswered()
            is Either.Right -> state = rules.onObserved(state, found.value?.toLease(), clock.now())
        }
    }

    private suspend fun write(write: LeaseWrite) {
        state = rules.onSend(state, write)
        when (val written = records.write(duty.key, write.record, write.condition)) {
            is Either.Right -> state = rules.onObserved(state, VersionedLease(written.value, write.record), clock.now())
            is Either.Left -> refused(written.value)
        }
    }

    private suspend fun refused(failure: StoreFailure) {
        val conflict = failure as? StoreFailure.Conflict ?: return unanswered()
        when (val current = conflict.current?.let(records::decode)) {
            null -> state = rules.onObserved(state, null, clock.now())
            is Either.Left -> unanswered()
            is Either.Right -> state = rules.onObserved(state, current.value.toLease(), clock.now())
        }
    }

    private suspend fun unanswered() {
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
