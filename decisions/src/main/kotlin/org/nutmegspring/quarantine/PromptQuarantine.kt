package org.nutmegspring.quarantine

import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which prompt parts crash engines, so that requests with them are refused.
 *
 * A crash breaks all requests at the engine, and each instance sees only its own. The instances therefore report what
 * they saw, and what others reported to them, until it expires. A part is quarantined once several engines have crashed
 * under it without any answer to a prompt with it being completed since. Sound parts that share requests
 * with the crashing one are completed elsewhere; those that are not are cleared because the quarantined part explains
 * their crashes.
 *
 * An instance judges only crashes since its own start, because it has not heard of the completions before.
 *
 * @param startedAt when the instance started
 * @param settleTime returns how long the reports of the other instances take, so that completions are heard of
 */
class PromptQuarantine(private val startedAt: MonotonicTime, private val settleTime: () -> Duration) {
    private val evidence = HashMap<PromptPartId, PartEvidence>()
    private val completions = CompletionTimes(MAXIMUM_COMPLETIONS)
    private var nextReported = 0

    /** The quarantined parts. */
    val quarantinedParts: Set<PromptPartId> get() = evidence.filterValues { it.isQuarantined }.keys

    /**
     * Records that the process [engine] crashed at [now] before it had written much of an answer to a prompt with
     * [parts]. Requests that broke off in the same crash are recorded one by one; the crash counts once.
     */
    fun recordCrash(parts: List<PromptPartId>, engine: EngineLifetime, now: MonotonicTime) {
        parts.forEachIndexed { depth, part -> findOrCreate(part, depth, now).addCrash(engine, now, isOwn = true) }
    }

    /** Records that an answer to a prompt with [parts] was completed at [now]. */
    fun recordCompletion(parts: List<PromptPartId>, now: MonotonicTime) {
        for (part in parts) {
            completions.record(part, now)
            evidence[part]?.recordCompletion(now)
        }
    }

    /** Returns the first of [parts] that is quarantined and records at [now] that it still comes, or null. */
    fun refuse(parts: List<PromptPartId>, now: MonotonicTime): PromptPartId? {
        val part = parts.firstOrNull { evidence[it]?.isQuarantined == true } ?: return null
        evidence.getValue(part).recordRequest(now)
        return part
    }

    /** Decides whether a request with [parts], which broke off with its engine, may be retried at [now]. */
    fun decideRetry(parts: List<PromptPartId>, now: MonotonicTime): RetryDecision {
        val known = parts.mapNotNull { evidence[it] }
        return when {
            known.any { it.isQuarantined } -> RetryDecision.REFUSE
            known.any { it.countCrashes(findExplained()) >= CRASHES_WITHOUT_RETRY } -> RetryDecision.WAIT
            parts.all { isRecentlyCompleted(it, now) } -> RetryDecision.RETRY
            else -> RetryDecision.RETRY_AFTER_REPORTS
        }
    }

    /** Updates the quarantine at [now] and returns what changed. Called several times in a second. */
    fun update(now: MonotonicTime): List<QuarantineChange> {
        val changes = mutableListOf<QuarantineChange>()
        for ((part, entry) in evidence.filterValues { it.isQuarantined }) {
            if (entry.isCompletedSinceQuarantine) {
                changes += QuarantineChange.Lifted(part, now - entry.endQuarantine(), LiftReason.COMPLETED)
            } else if (now - entry.lastRequestAt > QUARANTINE_RETENTION) {
                changes += QuarantineChange.Lifted(part, now - entry.endQuarantine(), LiftReason.EXPIRED)
                evidence.remove(part)
            }
        }
        changes += findSuspected(now)
        while (true) {
            val (_, entry) = findCulprit(now) ?: break
            entry.quarantine(now)
        }
        for ((part, entry) in evidence.filterValues { it.isQuarantined && !it.isAnnounced }) {
            entry.isAnnounced = true
            changes += QuarantineChange.Quarantined(part, entry.crashes.size, now - entry.firstCrashAt)
        }
        evidence.values.removeIf { it.isExpired(now) }
        return changes
    }

    /** Applies what another instance reported, received at [now]. */
    fun applyReport(report: PromptPartReport, now: MonotonicTime) {
        val entry = findOrCreate(report.part, report.depth, now)
        report.completionAge?.let { entry.recordCompletion(now - it) }
        report.crashAges.forEach { (engine, age) -> entry.addCrash(engine, now - age, isOwn = false) }
        val quarantineAge = report.quarantineAge ?: return
        val requestAge = minOf(report.requestAge ?: quarantineAge, quarantineAge)
        if (requestAge > QUARANTINE_RETENTION) return
        entry.adoptQuarantine(now - quarantineAge)
        entry.recordPeerRequest(now - requestAge)
    }

    /** Returns [count] parts to report at [now]: first those that matter most, then the others in turn. */
    fun nextReports(count: Int, now: MonotonicTime): List<PromptPartReport> {
        val explained = findExplained()
        val (urgent, others) = evidence.entries.sortedBy { it.key }.partition { (_, entry) ->
            entry.isQuarantined || entry.countCrashes(explained) > 1
        }
        val ordered = urgent.sortedByDescending { it.value.crashes.size }
        val first = rotate(ordered, count)
        val rest = rotate(others, count - first.size)
        nextReported++
        return (first + rest).map { (part, entry) -> entry.toReport(part, completions.find(part), now) }
    }

    private fun <T> rotate(entries: List<T>, count: Int): List<T> =
        if (entries.size <= count) entries else List(count) { entries[(nextReported * count + it) % entries.size] }

    private fun findSuspected(now: MonotonicTime): List<QuarantineChange> {
        val explained = findExplained()
        return evidence.filterValues { !it.isQuarantined }.mapNotNull { (part, entry) ->
            val crashes = entry.unexplainedCrashes(explained)
            val isSuspected = crashes.size >= CRASHES_WITHOUT_RETRY
            val isNew = isSuspected && !entry.isSuspected
            entry.isSuspected = isSuspected
            if (isNew) QuarantineChange.Suspected(part, crashes.size, now - crashes.first()) else null
        }
    }

    private fun findCulprit(now: MonotonicTime): Map.Entry<PromptPartId, PartEvidence>? {
        val explained = findExplained()
        val settledAt = now - settleTime()
        return evidence.entries
            .filter { (_, entry) -> !entry.isQuarantined && entry.isSettled(explained, settledAt) }
            .maxWithOrNull(
                compareBy<Map.Entry<PromptPartId, PartEvidence>> { it.value.countCrashes(explained) }
                    .thenByDescending { it.value.completedAt?.nanoseconds ?: Long.MIN_VALUE }
                    .thenBy { it.value.depth }
                    .thenBy { it.key },
            )
    }

    private fun PartEvidence.isSettled(explained: ExplainedCrashes, settledAt: MonotonicTime): Boolean {
        val judged = unexplainedCrashes(explained).filter { it >= startedAt }
        return judged.size >= MINIMUM_CRASHES && judged[MINIMUM_CRASHES - 1] <= settledAt
    }

    private fun findExplained(): ExplainedCrashes {
        val quarantined = evidence.values.filter { it.isQuarantined }
        val margin = settleTime()
        return ExplainedCrashes(
            engines = quarantined.flatMapTo(HashSet()) { it.crashes.keys },
            periods = quarantined.mapNotNull { it.crashPeriod }.map { it.start..it.endInclusive + margin },
        )
    }

    private fun isRecentlyCompleted(part: PromptPartId, now: MonotonicTime): Boolean =
        completions.find(part)?.let { now - it < RECENT_COMPLETION } ?: false

    private fun findOrCreate(part: PromptPartId, depth: Int, now: MonotonicTime): PartEvidence {
        if (part !in evidence && evidence.size >= MAXIMUM_EVIDENCE) {
            evidence.entries.filter { !it.value.isQuarantined }.minByOrNull { it.value.lastCrashAt }
                ?.let { evidence.remove(it.key) }
        }
        val entry = evidence.getOrPut(part) { PartEvidence(now).also { it.completedAt = completions.find(part) } }
        entry.depth = maxOf(entry.depth, depth)
        return entry
    }

    private companion object {
        /** Engines also crash by themselves, and a request with a rare part may meet more than one such crash. */
        const val MINIMUM_CRASHES = 3

        /** A second engine that crashes under the same part makes a third likely. */
        const val CRASHES_WITHOUT_RETRY = 2
        const val MAXIMUM_EVIDENCE = 512
        const val MAXIMUM_COMPLETIONS = 8192
        val RECENT_COMPLETION = 10.seconds

        /** Callers that were refused may keep coming back for minutes. */
        val QUARANTINE_RETENTION = 10.minutes
    }
}

/** Whether and when a request may be sent to another engine after its engine crashed. */
enum class RetryDecision {
    /** At once. */
    RETRY,

    /** Once the reports of the other instances have had time to arrive. */
    RETRY_AFTER_REPORTS,

    /** Not yet: the request may be what crashes engines. */
    WAIT,

    /** Not at all. */
    REFUSE,
}

/** Why a part is no longer quarantined. */
enum class LiftReason {
    /** An answer to a prompt with the part was completed. */
    COMPLETED,

    /** No requests with the part came any more. */
    EXPIRED,
}

/** A change of the quarantine. */
sealed interface QuarantineChange {
    /** The part concerned. */
    val part: PromptPartId

    /** [crashes] engines crashed under [part], the first of them [evidenceAge] ago; its requests are not retried. */
    data class Suspected(
        override val part: PromptPartId,
        val crashes: Int,
        val evidenceAge: Duration,
    ) : QuarantineChange

    /**
     * Requests with [part] are refused from now on, here or because another instance reported it. [crashes] are known
     * here, the first of them [evidenceAge] ago.
     */
    data class Quarantined(
        override val part: PromptPartId,
        val crashes: Int,
        val evidenceAge: Duration,
    ) : QuarantineChange

    /** Requests with [part] are served again, [age] after they were first refused. */
    data class Lifted(
        override val part: PromptPartId,
        val age: Duration,
        val reason: LiftReason,
    ) : QuarantineChange
}
