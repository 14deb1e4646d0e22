package org.nutmegspring.limits

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime

/** A grant as tracked by its receiver. */
internal class ReceivedGrant(
    val holder: InstanceId,
    val number: Long,
    var remaining: Long,
    val expiresAt: MonotonicTime,
) {
    /** Whether its remaining tokens may still be spent. */
    var isOpen = true

    /** The tokens that the receiver did not spend and never will. Meaningful only once the grant is closed. */
    var unspent = 0L
}

/** The grants of one organisation's tokens that an instance received, and the pending reports on them. */
internal class ReceivedGrants {
    private val open = ArrayList<ReceivedGrant>()
    private val unreported = LinkedHashSet<ReceivedGrant>()

    /** Whether there is nothing to spend and nothing to report. */
    val isEmpty: Boolean get() = open.isEmpty() && unreported.isEmpty()

    /** Adds a grant that may be spent until [expiresAt]. */
    fun add(holder: InstanceId, grant: Grant, expiresAt: MonotonicTime) {
        open.add(ReceivedGrant(holder, grant.number, grant.tokens, expiresAt))
    }

    /** Returns the number of tokens that can be spent at [now]. */
    fun available(now: MonotonicTime): Long {
        expire(now)
        return open.sumOf { it.remaining }
    }

    /** Spends up to [tokens], earliest expiry first, and returns the amount spent from each grant. */
    fun spend(tokens: Long, now: MonotonicTime): List<ChargePart.Granted> {
        expire(now)
        var unmet = tokens
        val parts = open.sortedBy { it.expiresAt }.mapNotNull { grant ->
            val spent = minOf(unmet, grant.remaining)
            unmet -= spent
            grant.remaining -= spent
            if (spent > 0) ChargePart.Granted(spent, grant) else null
        }
        closeIf { it.remaining == 0L }
        return parts
    }

    /** Refunds [tokens] spent from [grant]: they can be spent again while it is open, and are reported otherwise. */
    fun refund(grant: ReceivedGrant, tokens: Long, now: MonotonicTime) {
        expire(now)
        if (grant.isOpen) {
            grant.remaining += tokens
        } else {
            grant.unspent += tokens
            unreported.add(grant)
        }
    }

    /** Closes all open grants, so that their remaining tokens are reported as unspent. */
    fun closeAll() {
        open.forEach { close(it) }
        open.clear()
    }

    /** Schedules a report that nothing of the grant that [request] may have produced was or will be spent. */
    fun abandon(request: GrantRequest, now: MonotonicTime) {
        val grant = ReceivedGrant(request.holder, request.number, Long.MAX_VALUE, now)
        close(grant)
    }

    /** Removes and returns the pending reports. */
    fun drainReports(now: MonotonicTime): List<GrantReturn> {
        expire(now)
        val reports = unreported.map { GrantReturn(it.holder, it.number, it.unspent) }
        unreported.clear()
        return reports
    }

    private fun expire(now: MonotonicTime) = closeIf { it.expiresAt <= now }

    private fun closeIf(predicate: (ReceivedGrant) -> Boolean) {
        open.removeIf { grant -> predicate(grant).also { if (it) close(grant) } }
    }

    private fun close(grant: ReceivedGrant) {
        grant.isOpen = false
        grant.unspent = grant.remaining
        unreported.add(grant)
    }
}
