package org.nutmegspring.lease

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when one process reads, acquires, renews and releases a lease, based on its reads and writes of the object.
 *
 * The holder measures the lease duration from just before it sent the write. Any other process measures it from its
 * first observation of the current version and adds the clock rate margin. Readings of different clocks are never
 * compared. All waits are by the monotonic clock, which no step of the wall clock moves.
 *
 * @property standbyDelay how much longer a standby waits than the preferred process before it takes over
 */
open class LeaseRules(
    val timing: LeaseTiming,
    private val standbyDelay: Duration = timing.readInterval * 2,
) {
    /**
     * Returns the next action at [now]. The caller must complete it before asking for another one.
     *
     * @param ages measures the age of the leases of this process
     */
    fun nextAction(state: LeaseState, desiredRole: LeaseRole, now: MonotonicTime, ages: AgeClock): LeaseAction {
        if (desiredRole == LeaseRole.NONE && isUninvolved(state)) return LeaseAction.Wait(now + timing.readInterval)
        val readAt = state.readAt ?: return LeaseAction.Read
        val readAgainAt = readAt + timing.readInterval
        val seen = state.seen
        return when {
            seen != null && isOwn(state) -> renewOrRelease(state, seen, desiredRole, now)
            now >= readAgainAt -> LeaseAction.Read
            desiredRole == LeaseRole.NONE -> LeaseAction.Wait(readAgainAt)
            now >= earliestTakeover(state, readAt, desiredRole, ages) -> takeOver(state, now)
            else -> LeaseAction.Wait(minOf(readAgainAt, earliestTakeover(state, readAt, desiredRole, ages)))
        }
    }

    /** Returns the state to use once [write] is in flight. Must be called before the write is sent. */
    fun onSend(state: LeaseState, write: LeaseWrite): LeaseState = state.copy(
        held = state.held.takeUnless { write.record.released },
        unresolved = state.unresolved + write,
        lastSequence = write.record.sequence,
    )

    /** Returns the state after the store reported [lease], or no object when it is null, at [now]. */
    fun onObserved(state: LeaseState, lease: VersionedLease?, now: MonotonicTime): LeaseState {
        val seen = state.seen
        if (lease == null) {
            return state.copy(seen = null, readAt = now, held = null, freeAt = state.freeAt ?: now)
        }
        if (seen != null && lease.version < seen.version) return state.copy(readAt = now)
        val current = if (seen?.version == lease.version) seen else SeenLease(lease, now)
        val own = lease.record.writer == state.self
        val write = state.unresolved.find { own && it.record.sequence == lease.record.sequence }
        return state.copy(
            seen = current,
            readAt = now,
            held = if (write == null) state.held.takeIf { own } else leaseGrantedBy(write, now),
            unresolved = state.unresolved.filter { it.condition == WriteCondition.AtVersion(lease.version) },
        )
    }

    /**
     * Returns the state after the store was first seen in [era] at [now]. [ages] is as for [nextAction].
     *
     * Leases of earlier eras are not known to the store any more, but their holders may still act under them: the last
     * renewal was accepted before [era] began. Nobody else takes the lease before they have expired.
     */
    fun onNewEra(state: LeaseState, era: StoreEra, now: MonotonicTime, ages: AgeClock): LeaseState = LeaseState(
        self = state.self,
        lastSequence = state.lastSequence,
        era = era,
        inherited = state.validLease(now, ages),
        freeAt = earliestInNewEra(now),
    )

    /** Returns when the leases of earlier eras have expired, if the new one was first seen at [now]. */
    protected open fun earliestInNewEra(now: MonotonicTime): MonotonicTime = now + takeoverWait(timing.duration)

    /** Returns the state after a call went unanswered, which requires reading the object again. */
    fun onUnanswered(state: LeaseState): LeaseState = state.copy(readAt = null)

    /** Returns the lease that [write] grants when it is found at [now] to have taken effect, or null for a release. */
    protected open fun leaseGrantedBy(write: LeaseWrite, now: MonotonicTime): HeldLease? =
        if (write.record.released) null else HeldLease(write.record.fencing, write.sentAt, timing.duration)

    /** Returns how long a lease of [duration] must be seen unchanged before another process may take it over. */
    protected open fun takeoverWait(duration: Duration): Duration = timing.withClockMargin(duration)

    private fun isOwn(state: LeaseState): Boolean =
        state.seen?.record?.let { it.writer == state.self && !it.released } ?: false

    private fun renewOrRelease(
        state: LeaseState,
        seen: SeenLease,
        desiredRole: LeaseRole,
        now: MonotonicTime,
    ): LeaseAction {
        if (desiredRole == LeaseRole.NONE) return createWrite(state, seen, seen.record.fencing, now, released = true)
        val held = state.held ?: return createWrite(state, seen, seen.record.fencing, now)
        val renewAt = held.since + timing.renewInterval
        return if (now >= renewAt) createWrite(state, seen, seen.record.fencing, now) else LeaseAction.Wait(renewAt)
    }

    /** Whether this process neither holds the lease nor has a write that may still take effect. */
    private fun isUninvolved(state: LeaseState): Boolean =
        state.held == null && state.unresolved.isEmpty() && !isOwn(state)

    private fun earliestTakeover(
        state: LeaseState,
        readAt: MonotonicTime,
        desiredRole: LeaseRole,
        ages: AgeClock,
    ): MonotonicTime {
        val delay = if (desiredRole == LeaseRole.HOLD) Duration.ZERO else standbyDelay
        val seen = state.seen
        return when {
            seen == null && state.inherited?.isValid(ages) == true -> readAt
            seen == null -> maxOf(readAt, (state.freeAt ?: readAt) + delay)
            seen.record.released -> seen.firstSeenAt + delay
            else -> seen.firstSeenAt + takeoverWait(seen.record.durationMilliseconds.milliseconds) + delay
        }
    }

    private fun takeOver(state: LeaseState, now: MonotonicTime): LeaseAction {
        val last = state.seen?.record?.fencing?.value ?: greatestTokenBefore(state.era)
        return createWrite(state, state.seen, FencingToken(last + 1), now)
    }

    private fun createWrite(
        state: LeaseState,
        replaced: SeenLease?,
        fencing: FencingToken,
        now: MonotonicTime,
        released: Boolean = false,
    ): LeaseAction {
        val record = LeaseRecord(
            writer = state.self,
            sequence = state.lastSequence + 1,
            fencing = fencing,
            durationMilliseconds = timing.duration.inWholeMilliseconds,
            released = released,
        )
        val condition = replaced?.let { WriteCondition.AtVersion(it.version) } ?: WriteCondition.Absent
        return LeaseAction.Write(LeaseWrite(record, condition, now))
    }

    private companion object {
        /** The low bits of a fencing token, which count the holders in an era; the others are the era. */
        const val HOLDER_BITS = 32

        /** Returns a token that is at least as great as all that were used in the eras before [era]. */
        fun greatestTokenBefore(era: StoreEra): Long = era.value shl HOLDER_BITS
    }
}
