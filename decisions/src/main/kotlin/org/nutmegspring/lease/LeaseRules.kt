package org.nutmegspring.lease

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides about one lease from what one process saw of its object.
 *
 * The holder counts the lease from before it sent the write. Another process counts from when it first saw the
 * version that has not changed since, and adds the clock rate margin. No two clocks are compared.
 *
 * @property standbyDelay how much longer a process waits that only stands by
 */
open class LeaseRules(
    val timing: LeaseTiming,
    private val standbyDelay: Duration = timing.readEvery * 2,
) {
    /** Returns what to do next at [now]. Only one action at a time may be under way. */
    fun next(state: LeaseState, wish: LeaseWish, now: MonotonicTime): LeaseAction {
        if (wish == LeaseWish.NONE && isUninvolved(state)) return LeaseAction.Wait(now + timing.readEvery)
        val readAt = state.readAt ?: return LeaseAction.Read
        val readAgainAt = readAt + timing.readEvery
        val seen = state.seen
        return when {
            seen != null && isOwn(state) -> keep(state, seen, wish, now)
            now >= readAgainAt -> LeaseAction.Read
            wish == LeaseWish.NONE -> LeaseAction.Wait(readAgainAt)
            now >= takeAt(seen, readAt, wish) -> take(state, now)
            else -> LeaseAction.Wait(minOf(readAgainAt, takeAt(seen, readAt, wish)))
        }
    }

    /** Returns the state after [write] was handed out by [next]. It has to be called before the write is sent. */
    fun sending(state: LeaseState, write: LeaseWrite): LeaseState = state.copy(
        held = state.held.takeUnless { write.record.released },
        unresolved = state.unresolved + write,
        lastSequence = write.record.sequence,
    )

    /** Returns the state after the store showed [lease], or no object, at [now]. */
    fun observed(state: LeaseState, lease: VersionedLease?, now: MonotonicTime): LeaseState {
        val seen = state.seen
        if (lease == null) return state.copy(seen = null, readAt = now, held = null)
        if (seen != null && lease.version < seen.version) return state.copy(readAt = now)
        val current = if (seen?.version == lease.version) seen else SeenLease(lease, now)
        val own = lease.record.writer == state.self
        val write = state.unresolved.find { own && it.record.sequence == lease.record.sequence }
        return state.copy(
            seen = current,
            readAt = now,
            held = if (write == null) state.held.takeIf { own } else heldBy(write, now),
            unresolved = state.unresolved.filter { it.condition == WriteCondition.AtVersion(lease.version) },
        )
    }

    /** Returns the state after a call got no answer. The object has to be read again. */
    fun unanswered(state: LeaseState): LeaseState = state.copy(readAt = null)

    /** The lease that [write] gives once its effect is known at [now]. */
    protected open fun heldBy(write: LeaseWrite, now: MonotonicTime): HeldLease? =
        if (write.record.released) null else HeldLease(write.record.fencing, write.sentAt + timing.duration)

    /** How long after the first sight of an unchanged lease of [duration] another process may take it. */
    protected open fun takeoverWait(duration: Duration): Duration = timing.outlasting(duration)

    private fun isOwn(state: LeaseState): Boolean =
        state.seen?.record?.let { it.writer == state.self && !it.released } ?: false

    private fun keep(state: LeaseState, seen: SeenLease, wish: LeaseWish, now: MonotonicTime): LeaseAction {
        if (wish == LeaseWish.NONE) return write(state, seen, seen.record.fencing, now, released = true)
        val renewAt = (state.held ?: return write(state, seen, seen.record.fencing, now)).validUntil -
            timing.duration + timing.renewEvery
        return if (now >= renewAt) write(state, seen, seen.record.fencing, now) else LeaseAction.Wait(renewAt)
    }

    /** A process that wants nothing leaves the object alone once it can't have written it. */
    private fun isUninvolved(state: LeaseState): Boolean =
        state.held == null && state.unresolved.isEmpty() && !isOwn(state)

    private fun takeAt(seen: SeenLease?, readAt: MonotonicTime, wish: LeaseWish): MonotonicTime {
        val delay = if (wish == LeaseWish.HOLD) Duration.ZERO else standbyDelay
        return when {
            seen == null -> readAt + delay
            seen.record.released -> seen.firstSeenAt + delay
            else -> seen.firstSeenAt + takeoverWait(seen.record.durationMilliseconds.milliseconds) + delay
        }
    }

    private fun take(state: LeaseState, now: MonotonicTime): LeaseAction {
        val fencing = FencingToken((state.seen?.record?.fencing?.value ?: 0) + 1)
        return write(state, state.seen, fencing, now)
    }

    private fun write(
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
}
