package org.nutmegspring.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Shares a rate that an endpoint names for all instances together, without messages between them.
 *
 * Turns begin one after the other at the rate of the limit, on the wall clock, and go round the instances in the order
 * of their ids. A turn admits one request and stays open until the next turn and [SHARED_TURN_OPEN_TIME] have passed.
 * In any span, the requests of all instances thus are at most the turns that were open during it, also when each
 * instance's share is far below one request.
 */
class SharedRateLimit {
    private var lastTurnUsed: Duration? = null
    private var lastShare: RateShare? = null

    /** Whether a turn is open at [now]. */
    fun isTurnOpen(share: RateShare, now: Duration): Boolean = timeUntilTurn(share, now) == Duration.ZERO

    /** Uses a turn that is open at [now]. Returns false if there is none. */
    fun tryAcquire(share: RateShare, now: Duration): Boolean {
        if (!isTurnOpen(share, now)) return false
        lastTurnUsed = nextTurn(share, now)
        return true
    }

    /**
     * Gives up the turns that began before [time] on the wall clock, because this instance may have used them and
     * forgotten it.
     */
    fun discardTurnsBefore(time: Duration) {
        lastTurnUsed = maxOf(lastTurnUsed ?: time, time)
    }

    /**
     * Gives up the turns that began before [now] if the instances share the limit in another way than at the last call:
     * another instance may have used them under the former order.
     */
    fun discardTurnsOfOtherOrder(share: RateShare, now: Duration) {
        val last = lastShare
        lastShare = share
        if (last != null && (last.rank != share.rank || last.instances != share.instances)) discardTurnsBefore(now)
    }

    /** Returns how long after [now] the next turn begins, zero if one is open. */
    fun timeUntilTurn(share: RateShare, now: Duration): Duration {
        if (share.requestsPerSecond <= 0) return Duration.INFINITE
        return (nextTurn(share, now) - now).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the beginning of the first turn that has not been used and has not ended at [now]. */
    private fun nextTurn(share: RateShare, now: Duration): Duration {
        val spacing = 1.seconds / share.requestsPerSecond
        val round = spacing * share.instances
        val offset = spacing * share.rank
        val oldestOpen = now - SHARED_TURN_OPEN_TIME - spacing
        val after = maxOf(oldestOpen, lastTurnUsed?.takeIf { it <= now } ?: oldestOpen)
        val rounds = Math.floorDiv((after - offset).inWholeNanoseconds, round.inWholeNanoseconds) + 1
        return (rounds * round.inWholeNanoseconds).nanoseconds + offset
    }
}

/** How long a turn of a [SharedRateLimit] stays open beyond the begin of the next one. */
internal val SHARED_TURN_OPEN_TIME = 1.seconds

/**
 * The part of a limit that one instance may use.
 *
 * @property requestsPerSecond the limit of all instances together
 * @property rank the position of this instance in the order of the ids of all instances, from 0
 * @property instances the number of instances
 */
data class RateShare(
    val requestsPerSecond: Double,
    val rank: Int,
    val instances: Int,
)
