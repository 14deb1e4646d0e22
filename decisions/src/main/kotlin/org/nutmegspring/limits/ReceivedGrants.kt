package org.nutmegspring.limits

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime

/** A grant at its receiver. */
internal class ReceivedGrant(
    val holder: InstanceId,
    val number: Long,
    var remaining: Long,
    val expires: MonotonicTime,
) {
    /** Whether its tokens may be spent. */
    var open = true

    /** What the receiver did not spend and never will. It is known once the grant is no longer open. */
    var unspent = 0L
}

/** The grants of one organisation's tokens that an instance received, and what it has to report about them. */
internal class ReceivedGrants {
    private val open = ArrayList<ReceivedGrant>()
    private val unreported = LinkedHashSet<ReceivedGrant>()

    /** Whether there is nothing to spend and nothing to report. */
    val isEmpty: Boolean get() = open.isEmpty() && unreported.isEmpty()

    /** Adds a grant that may be spent until [expires]. */
    fun add(holder: InstanceId, grant: Grant, expires: MonotonicTime) {
        open.add(ReceivedGrant(holder, grant.number, grant.tokens, expires))
    }

    /** Returns how many tokens can be spent at [now]. */
    fun available(now: MonotonicTime): Long {
        expire(now)
        return open.sumOf { it.remaining }
    }

    /** Spends up to [tokens], soonest expiry first, and returns what was taken from which grant. */
    fun spend(tokens: Long, now: MonotonicTime): List<ChargePart.Granted> {
        expire(now)
        var missing = tokens
        val parts = open.sortedBy { it.expires }.mapNotNull { grant ->
            val taken = minOf(missing, grant.remaining)
            missing -= taken
            grant.remaining -= taken
            if (taken > 0) ChargePart.Granted(taken, grant) else null
        }
        endWhere { it.remaining == 0L }
        return parts
    }

    /** Gives [tokens] back to [grant], from which they were spent. */
    fun refund(grant: ReceivedGrant, tokens: Long, now: MonotonicTime) {
        expire(now)
        if (grant.open) {
            grant.remaining += tokens
        } else {
            grant.unspent += tokens
            unreported.add(grant)
        }
    }

    /** Ends all grants, so that what is left of them is reported. */
    fun endAll() {
        open.forEach { end(it) }
        open.clear()
    }

    /** Reports that nothing was or will be spent of the grant that [ask] may have led to. */
    fun abandon(ask: GrantAsk, now: MonotonicTime) {
        val grant = ReceivedGrant(ask.holder, ask.number, Long.MAX_VALUE, now)
        end(grant)
    }

    /** Removes and returns what has to be reported. */
    fun takeReports(now: MonotonicTime): List<GrantReturn> {
        expire(now)
        val reports = unreported.map { GrantReturn(it.holder, it.number, it.unspent) }
        unreported.clear()
        return reports
    }

    private fun expire(now: MonotonicTime) = endWhere { it.expires <= now }

    private fun endWhere(due: (ReceivedGrant) -> Boolean) {
        open.removeIf { grant -> due(grant).also { if (it) end(grant) } }
    }

    private fun end(grant: ReceivedGrant) {
        grant.open = false
        grant.unspent = grant.remaining
        unreported.add(grant)
    }
}
