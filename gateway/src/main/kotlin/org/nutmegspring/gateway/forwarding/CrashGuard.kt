package org.nutmegspring.gateway.forwarding

import kotlinx.coroutines.delay
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.gateway.http.ConnectionProbe
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.Interruption
import org.nutmegspring.gateway.peers.PromptPartEntry
import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.quarantine.EngineLifetime
import org.nutmegspring.quarantine.PromptPartReport
import org.nutmegspring.quarantine.PromptQuarantine
import org.nutmegspring.quarantine.QuarantineChange
import org.nutmegspring.quarantine.RetryDecision
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps requests with a prompt part that crashes engines away from them.
 *
 * An engine has crashed if it cut off an answer at its beginning and refuses connections afterwards. A faulty engine
 * that keeps listening, a reset connection and a lost path leave no evidence.
 *
 * @param reportInterval returns the time between the reports of the instances
 */
class CrashGuard(
    private val probes: EngineProbes,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val reportInterval: () -> Duration,
) {
    private val quarantine = PromptQuarantine(clock.now(), ::computeSettleTime)

    /** The answers that engines cut off at their beginning by a crash, since the process started. */
    var crashCount = 0L
        private set

    /** The requests that were refused because of a quarantined part, since the process started. */
    var refusalCount = 0L
        private set

    /** The number of quarantined parts. */
    val quarantinedCount: Int get() = quarantine.quarantinedParts.size

    /** Returns the quarantined one of [parts], whose request then has to be refused, or null. */
    fun refuse(parts: List<PromptPartId>): PromptPartId? =
        quarantine.refuse(parts, clock.now())?.also { refusalCount++ }

    /** Records that [engine] cut off the answer to a prompt with [parts] after [events] whole events. */
    suspend fun recordDisconnect(parts: List<PromptPartId>, engine: ServingEndpoint, events: Int): Interruption {
        val interruption = Interruption(parts, events, probes.probe(engine))
        if (interruption.isCrashAtBeginning) {
            crashCount++
            quarantine.recordCrash(parts, lifetimeOf(engine), clock.now())
        }
        return interruption
    }

    /** Records that an answer to a prompt with [parts] was completed. */
    fun recordCompletion(parts: List<PromptPartId>) = quarantine.recordCompletion(parts, clock.now())

    /**
     * Waits until a request with [parts] can be retried after [interruption]. Returns false if it can't, because it may
     * be what crashes engines.
     */
    suspend fun awaitRetry(
        parts: List<PromptPartId>,
        interruption: Interruption,
        timeLeft: () -> Duration,
    ): Boolean {
        if (!interruption.isCrashAtBeginning) return true
        val startedAt = clock.now()
        val reportsDue = startedAt + minOf(reportInterval() * REPORTS_BEFORE_RETRY, MAXIMUM_REPORT_WAIT)
        val deadline = startedAt + minOf(timeLeft() * WAITING_SHARE, MAXIMUM_RETRY_WAIT)
        var decision = quarantine.decideRetry(parts, startedAt)
        while (isWaiting(decision, reportsDue) && clock.now() < deadline) {
            delay(RETRY_CHECK)
            decision = quarantine.decideRetry(parts, clock.now())
        }
        return decision == RetryDecision.RETRY || decision == RetryDecision.RETRY_AFTER_REPORTS
    }

    private fun isWaiting(decision: RetryDecision, reportsDue: MonotonicTime): Boolean = when (decision) {
        RetryDecision.RETRY, RetryDecision.REFUSE -> false
        RetryDecision.RETRY_AFTER_REPORTS -> clock.now() < reportsDue
        RetryDecision.WAIT -> true
    }

    /** Applies what another instance reports. */
    fun applyEntry(entry: PromptPartEntry) = quarantine.applyReport(
        PromptPartReport(
            part = entry.part,
            depth = entry.depth,
            crashAges = entry.crashAges.entries.associate { (engine, age) ->
                EngineLifetime(engine) to age.milliseconds
            },
            completionAge = entry.completionAge?.milliseconds,
            quarantineAge = entry.quarantineAge?.milliseconds,
            requestAge = entry.requestAge?.milliseconds,
        ),
        clock.now(),
    )

    /** Returns [count] entries for the next report. */
    fun nextEntries(count: Int): List<PromptPartEntry> = quarantine.nextReports(count, clock.now()).map { report ->
        PromptPartEntry(
            part = report.part,
            depth = report.depth,
            crashAges = report.crashAges.entries.associate { (engine, age) -> engine.value to age.inWholeMilliseconds },
            completionAge = report.completionAge?.inWholeMilliseconds,
            quarantineAge = report.quarantineAge?.inWholeMilliseconds,
            requestAge = report.requestAge?.inWholeMilliseconds,
        )
    }

    /** Updates the quarantine and logs its changes. Called several times in a second. */
    fun update() = quarantine.update(clock.now()).forEach { log.record(createEvent(it)) }

    private fun createEvent(change: QuarantineChange): DecisionEvent = when (change) {
        is QuarantineChange.Suspected -> {
            DecisionEvent.PromptPartChanged(change.part, "suspected", change.crashes, change.evidenceAge)
        }

        is QuarantineChange.Quarantined -> {
            DecisionEvent.PromptPartChanged(change.part, "quarantined", change.crashes, change.evidenceAge)
        }

        is QuarantineChange.Lifted -> {
            DecisionEvent.PromptPartChanged(change.part, change.reason.name.lowercase(), null, change.age)
        }
    }

    private fun computeSettleTime(): Duration =
        (reportInterval() * REPORTS_TO_SETTLE).coerceIn(MINIMUM_SETTLE_TIME, MAXIMUM_SETTLE_TIME)

    private companion object {
        const val REPORTS_BEFORE_RETRY = 2
        const val REPORTS_TO_SETTLE = 2
        val MAXIMUM_REPORT_WAIT = 500.milliseconds
        val MINIMUM_SETTLE_TIME = 300.milliseconds
        val MAXIMUM_SETTLE_TIME = 1300.milliseconds
        val MAXIMUM_RETRY_WAIT = 1500.milliseconds
        val RETRY_CHECK = 20.milliseconds

        /** The rest of the time left is for the retry itself. */
        const val WAITING_SHARE = 0.5
    }
}

/** Whether the engine's process ended just as it began to answer. */
private val Interruption.isCrashAtBeginning: Boolean
    get() = probe == ConnectionProbe.REFUSED && events <= MAXIMUM_EVENTS_AT_BEGINNING

/** Returns the lifetime of the process that [engine] describes, equal at all instances. */
private fun lifetimeOf(engine: ServingEndpoint): EngineLifetime {
    val id = engine.id.value.fold(0L) { hash, character -> hash * HASH_FACTOR + character.code }
    return EngineLifetime(id * HASH_FACTOR + (engine.bornAt ?: 0))
}

private const val MAXIMUM_EVENTS_AT_BEGINNING = 1
private const val HASH_FACTOR = 1_000_003L
