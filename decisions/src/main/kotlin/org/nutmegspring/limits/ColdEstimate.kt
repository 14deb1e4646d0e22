package org.nutmegspring.limits

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** The source on which an endpoint is taken for cold. */
enum class ColdSource {
    /** Its entry in the store states it. */
    ENTRY,

    /** An answer of the endpoint states it. */
    ANSWER,

    /** Another instance reports a statement of the endpoint, or its new process. */
    PEER,

    /** A process started while requests were served, and its entry states nothing. */
    NEW_PROCESS,

    /** The entry of the endpoint returned after it was gone or lost. */
    ENTRY_RETURNED,

    /** The endpoint does not answer this instance, or has answered again only now. */
    UNREACHABLE,

    /** This instance was suspended or cut off, and has no current entry of any endpoint. */
    UNKNOWN,
}

/**
 * Decides until when one endpoint is treated as cold.
 *
 * Precedence of the sources:
 * - An answer states the remaining time at a known moment. It replaces everything that was known before its request
 *   was sent, also by an earlier end. An answer to an earlier request only extends.
 * - An entry states the remaining time when it was written, which may be long ago. It only extends.
 * - A presumption holds for the cold time of the service unless the endpoint itself states otherwise later on.
 * - An endpoint that this instance cannot reach is treated as cold until it answers, and for the cold time after that
 *   unless the answer states otherwise. Other instances are not told, because the link may be at fault.
 * - A report of another instance counts as of the moment of its evidence.
 */
class ColdEstimate {
    private var until: MonotonicTime? = null
    private var evidenceAt: MonotonicTime? = null
    private var unreachableSince: MonotonicTime? = null

    /** Since when the other instances need the evidence, null if they do not. */
    private var shareableSince: MonotonicTime? = null

    /** The source of the latest evidence, null without any. */
    var source: ColdSource? = null
        private set

    /** Records an entry, [isNew] if it was written since this instance knows the endpoint. */
    fun recordEntry(remaining: Duration, isNew: Boolean, now: MonotonicTime) {
        if (!extend(now + remaining, now)) return
        evidenceAt = now
        source = ColdSource.ENTRY
        shareableSince = now.takeIf { isNew }
    }

    /** Records that the endpoint may be cold for [coldTime] because of [because]. */
    fun presume(because: ColdSource, coldTime: Duration, now: MonotonicTime) {
        if (!extend(now + coldTime, now)) return
        evidenceAt = now
        source = because
        shareableSince = now.takeIf { because == ColdSource.NEW_PROCESS }
    }

    /** Records that the endpoint does not answer this instance. */
    fun recordUnreachable(now: MonotonicTime) {
        unreachableSince = now
        source = ColdSource.UNREACHABLE
    }

    /** Records an answer to a request sent at [sentAt] that states [remaining], or nothing. */
    fun recordAnswer(remaining: Duration?, sentAt: MonotonicTime, now: MonotonicTime, coldTime: Duration) {
        val isReachedAgain = unreachableSince?.let { sentAt >= it } ?: false
        if (isReachedAgain) unreachableSince = null
        when {
            remaining != null -> recordStatement(remaining, sentAt, now, ColdSource.ANSWER)
            isReachedAgain -> presume(ColdSource.UNREACHABLE, coldTime, now)
        }
    }

    /** Records what another instance reports: [remaining], from evidence that is [age] old. */
    fun recordPeer(remaining: Duration, age: Duration, now: MonotonicTime) {
        if (remaining == Duration.ZERO && evidenceAt == null) return
        recordStatement(remaining, now - age, now, ColdSource.PEER)
    }

    /** Forgets everything, because another process answers now. */
    fun reset() {
        until = null
        evidenceAt = null
        unreachableSince = null
        shareableSince = null
        source = null
    }

    /** Returns how long the endpoint may stay cold, zero if it is not. [coldTime] applies while it is unreachable. */
    fun remaining(coldTime: Duration, now: MonotonicTime): Duration {
        val stated = statedRemaining(now)
        return if (unreachableSince == null) stated else maxOf(stated, coldTime)
    }

    /** Returns how long the endpoint stays cold by evidence other than that it cannot be reached. */
    fun statedRemaining(now: MonotonicTime): Duration =
        (until?.let { it - now } ?: Duration.ZERO).coerceAtLeast(Duration.ZERO)

    /** Whether there is evidence that the endpoint is cold, or it cannot be reached. */
    fun isSuspect(now: MonotonicTime): Boolean = unreachableSince != null || isKnownCold(now)

    /** Whether the endpoint is cold by evidence other than that it cannot be reached. */
    fun isKnownCold(now: MonotonicTime): Boolean = until?.let { now < it } ?: false

    /** Returns the age of evidence for the other instances, null without it or when it is older than [retention]. */
    fun shareableAge(retention: Duration, now: MonotonicTime): Duration? {
        val since = shareableSince ?: return null
        return evidenceAt?.let { now - it }?.takeIf { isKnownCold(now) || now - since <= retention }
    }

    private fun recordStatement(remaining: Duration, basedOn: MonotonicTime, now: MonotonicTime, from: ColdSource) {
        val isLatest = evidenceAt?.let { basedOn >= it } ?: true
        if (isLatest) {
            // That an endpoint is warm is news only to those that took it for cold.
            val isNews = remaining > Duration.ZERO || isKnownCold(now)
            if (isNews) shareableSince = now.takeIf { from == ColdSource.ANSWER }
            until = now + remaining
            evidenceAt = basedOn
            source = from
        } else if (extend(now + remaining, now)) {
            source = from
        }
    }

    /** Moves the end to [candidate]. Returns false if it is over or not later than the known one. */
    private fun extend(candidate: MonotonicTime, now: MonotonicTime): Boolean {
        if (candidate <= now || until?.let { candidate <= it } ?: false) return false
        until = candidate
        return true
    }
}
