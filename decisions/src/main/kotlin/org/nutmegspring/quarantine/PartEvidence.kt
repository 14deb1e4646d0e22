package org.nutmegspring.quarantine

import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Identifies one run of an engine's process. */
@JvmInline
value class EngineLifetime(val value: Long)

/**
 * What one instance reports of a prompt part. Ages are at the time of sending.
 *
 * @property depth the position of the part in prompts, -1 if the sender has not seen it
 * @property crashAges engines that crashed under the part, also those that other instances reported
 * @property completionAge when the sender itself last completed an answer to a prompt with the part
 * @property quarantineAge when the part was quarantined, null if it is not
 * @property requestAge when the sender itself last refused a request with the part
 */
data class PromptPartReport(
    val part: PromptPartId,
    val depth: Int,
    val crashAges: Map<EngineLifetime, Duration>,
    val completionAge: Duration?,
    val quarantineAge: Duration?,
    val requestAge: Duration?,
)

/** The evidence against one prompt part. */
internal class PartEvidence(private val createdAt: MonotonicTime) {
    private val crashTimes = LinkedHashMap<EngineLifetime, MonotonicTime>()
    private val ownCrashes = HashSet<EngineLifetime>()
    private var earliestCrashAt: MonotonicTime? = null
    private var quarantinedAt: MonotonicTime? = null

    /** The position of the part in prompts, -1 if only other instances have seen it. */
    var depth = -1

    /** When an engine first crashed under the part, or the beginning of this evidence if no crash is known. */
    val firstCrashAt: MonotonicTime get() = earliestCrashAt ?: createdAt

    /** Whether the quarantine was returned as a change. */
    var isAnnounced = false

    /** Whether more than one engine crashed under the part since the last completion. */
    var isSuspected = false

    /** When an answer to a prompt with the part was last completed, at any instance. */
    var completedAt: MonotonicTime? = null

    /** When a request with the part last came, to any instance. */
    var lastRequestAt: MonotonicTime = createdAt
        private set

    private var ownRequestAt: MonotonicTime? = null

    /** The engines that crashed under the part, and when. */
    val crashes: Map<EngineLifetime, MonotonicTime> get() = crashTimes

    /** When an engine last crashed under the part. */
    val lastCrashAt: MonotonicTime get() = crashTimes.values.maxOrNull() ?: lastRequestAt

    /** Whether requests with the part are refused. */
    val isQuarantined: Boolean get() = quarantinedAt != null

    /** Whether an answer was completed after the part was quarantined. */
    val isCompletedSinceQuarantine: Boolean
        get() = completedAt?.let { completed -> quarantinedAt?.let { completed >= it } } ?: false

    /** The time in which the crashes of a quarantined part happened, null if the part is not quarantined. */
    val crashPeriod: ClosedRange<MonotonicTime>?
        get() = quarantinedAt?.let { until -> minOf(firstCrashAt, until)..until }

    /**
     * Records that [engine] crashed, [isOwn] if a request of this instance broke off with it. An engine that was
     * reported before keeps its earliest time.
     */
    fun addCrash(engine: EngineLifetime, at: MonotonicTime, isOwn: Boolean) {
        earliestCrashAt = earliestCrashAt?.let { minOf(it, at) } ?: at
        crashTimes.merge(engine, at) { known, reported -> minOf(known, reported) }
        if (isOwn) ownCrashes += engine
        if (crashTimes.size > MAXIMUM_CRASHES) {
            val oldest = crashTimes.minBy { it.value }.key
            crashTimes.remove(oldest)
            ownCrashes -= oldest
        }
    }

    /** Records that this instance refused a request with the part. */
    fun recordRequest(at: MonotonicTime) {
        ownRequestAt = at
        recordPeerRequest(at)
    }

    /** Records that a request with the part came to another instance. It is not reported again. */
    fun recordPeerRequest(at: MonotonicTime) {
        lastRequestAt = maxOf(lastRequestAt, at)
    }

    /** Records that an answer was completed. */
    fun recordCompletion(at: MonotonicTime) {
        completedAt = completedAt?.let { maxOf(it, at) } ?: at
    }

    /** Returns the times, in order, of crashes since the last completion that [explained] does not cover. */
    fun unexplainedCrashes(explained: ExplainedCrashes): List<MonotonicTime> {
        val completed = completedAt
        return crashTimes.filter { (engine, at) ->
            (completed == null || at > completed) && !explained.covers(engine, at, engine in ownCrashes)
        }.values.sorted()
    }

    /** Returns the number of crashes since the last completion that [explained] does not cover. */
    fun countCrashes(explained: ExplainedCrashes): Int = unexplainedCrashes(explained).size

    /** Quarantines the part at [at]. */
    fun quarantine(at: MonotonicTime) {
        quarantinedAt = at
        lastRequestAt = maxOf(lastRequestAt, at)
    }

    /** Quarantines the part if it was quarantined elsewhere at [at] and no answer was completed since. */
    fun adoptQuarantine(at: MonotonicTime) {
        if (completedAt?.let { it >= at } ?: false) return
        quarantinedAt = quarantinedAt?.let { minOf(it, at) } ?: at
        lastRequestAt = maxOf(lastRequestAt, at)
    }

    /** Ends the quarantine and returns when it began. The crashes no longer count, since an answer refuted them. */
    fun endQuarantine(): MonotonicTime {
        val began = checkNotNull(quarantinedAt) { "the part is quarantined" }
        quarantinedAt = null
        isAnnounced = false
        return began
    }

    /** Whether the evidence matters no more at [now]. */
    fun isExpired(now: MonotonicTime): Boolean {
        if (isQuarantined) return false
        val isCleared = countCrashes(ExplainedCrashes.NONE) == 0
        return now - lastCrashAt > if (isCleared) CLEARED_RETENTION else EVIDENCE_RETENTION
    }

    /** Returns the report of [part], whose last completion at this instance was at [ownCompletion]. */
    fun toReport(part: PromptPartId, ownCompletion: MonotonicTime?, now: MonotonicTime): PromptPartReport {
        val newest = crashTimes.entries.sortedByDescending { it.value }.take(REPORTED_CRASHES)
        return PromptPartReport(
            part = part,
            depth = depth,
            crashAges = newest.associate { (engine, at) -> engine to now - at },
            completionAge = ownCompletion?.let { now - it },
            quarantineAge = quarantinedAt?.let { now - it },
            requestAge = ownRequestAt?.let { now - it },
        )
    }

    private companion object {
        const val MAXIMUM_CRASHES = 16

        /** One more than quarantine a part, so that the reports of one instance suffice. */
        const val REPORTED_CRASHES = 4

        /** Requests with a part may be minutes apart. */
        val EVIDENCE_RETENTION = 10.minutes

        /** Other instances have heard of the completion by then. */
        val CLEARED_RETENTION = 30.seconds
    }
}

/**
 * The crashes that quarantined parts explain: those of [engines], and those during [periods] that only other instances
 * have seen. Their reports do not tell which other parts the requests had.
 */
internal class ExplainedCrashes(
    private val engines: Set<EngineLifetime>,
    private val periods: List<ClosedRange<MonotonicTime>>,
) {
    /** Whether the crash of [engine] at [at] is explained. */
    fun covers(engine: EngineLifetime, at: MonotonicTime, isOwn: Boolean): Boolean =
        engine in engines || (!isOwn && periods.any { at in it })

    companion object {
        /** No crash is explained. */
        val NONE = ExplainedCrashes(emptySet(), emptyList())
    }
}
