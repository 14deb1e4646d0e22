package org.nutmegspring.measure.confirmations

import org.HdrHistogram.Histogram
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.RequestId
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** One piece of work that a caller wants done, however many requests it sends for it. */
internal class Intent(
    val number: Long,
    val repeatable: Boolean,
    val startedAt: MonotonicTime,
) {
    /** How often a service ran it. */
    var executions = 0

    /** Whether the caller has its answer. */
    var answered = false

    /** Whether the caller was told of an attempt that may have run. */
    var unknown = false

    /** How it ended for the caller, or null while the caller may send further attempts. */
    var end: IntentEnd? = null
}

/** Follows from outside what ran and what callers were told, and checks one against the other. */
internal class ExecutionLedger(private val world: ExecutionWorld) {
    private val executedRequests = HashSet<RequestId>()
    private val refusedRequests = HashSet<RequestId>()

    /** How many intents that are not repeatable ran. */
    var confirmations = 0L
        private set

    /** How many intents that are not repeatable ended, by how. */
    val ends = HashMap<IntentEnd, Long>()

    /** How long the intents that are not repeatable took to their first answer, in microseconds. */
    val answerTimes = Histogram(LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    /** The greatest number of executions of one intent that is not repeatable. */
    var mostExecutions = 0
        private set

    /** Notes that a service ran the work of [intent] for the attempt [request]. */
    fun executed(intent: Intent, request: RequestId) {
        intent.executions++
        executedRequests.add(request)
        world.record("executed ${intent.number} as $request")
        checkRefused(request)
        checkEnd(intent)
        if (intent.repeatable) return
        if (intent.executions == 1) confirmations++
        mostExecutions = maxOf(mostExecutions, intent.executions)
        world.check(Invariant.AT_MOST_ONCE, intent.executions <= 1) {
            "${intent.number} ran ${intent.executions} times"
        }
    }

    /** Notes that the caller was told that the attempt [request] for [intent] failed. */
    fun told(intent: Intent, request: RequestId, failure: Failure) {
        world.record("told ${intent.number} $request $failure")
        if (failure.effect == Effect.UNKNOWN) {
            intent.unknown = true
            return
        }
        refusedRequests.add(request)
        checkRefused(request)
    }

    /** Notes that the caller of [intent] got the answer [body] to its attempt. */
    fun answered(intent: Intent, body: String) {
        world.record("answered ${intent.number} with $body")
        if (!intent.answered && !intent.repeatable) recordTime(world.schedule.now() - intent.startedAt)
        intent.answered = true
        world.check(Invariant.OWN_ANSWER, body == answerTo(intent.number)) {
            "${intent.number} got the answer $body"
        }
    }

    /** Notes that the caller of [intent] sends no more attempts. */
    fun ended(intent: Intent) {
        if (intent.repeatable) return
        val end = when {
            intent.answered -> IntentEnd.ANSWERED
            intent.unknown -> IntentEnd.OUTCOME_UNKNOWN
            else -> IntentEnd.NOT_RUN
        }
        ends.merge(end, 1, Long::plus)
        intent.end = end
        checkEnd(intent)
    }

    private fun recordTime(time: Duration) =
        answerTimes.recordValue(time.inWholeMicroseconds.coerceAtMost(LONGEST_MICROSECONDS))

    private fun checkEnd(intent: Intent) =
        world.check(Invariant.TRUE_NOT_RUN, intent.end != IntentEnd.NOT_RUN || intent.executions == 0) {
            "${intent.number} ran although all its attempts were refused as not run"
        }

    private fun checkRefused(request: RequestId) =
        world.check(Invariant.TRUE_NOT_RUN, request !in executedRequests || request !in refusedRequests) {
            "$request ran and was refused as not run"
        }
}

private const val SIGNIFICANT_DIGITS = 3
private const val LONGEST_MICROSECONDS = 1_000_000_000L

/** How the work of a caller ended. */
internal enum class IntentEnd {
    /** The caller has the answer. */
    ANSWERED,

    /** The caller was told that the outcome is not known, or was told nothing. */
    OUTCOME_UNKNOWN,

    /** The caller was told that none of its attempts ran. */
    NOT_RUN,
}

/** The answer that services give to the work with [number]. */
internal fun answerTo(number: Long): String = "answer to $number"
