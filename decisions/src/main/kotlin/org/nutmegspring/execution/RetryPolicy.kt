package org.nutmegspring.execution

import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure

/**
 * The part of an answer that was delivered to the caller before an attempt failed.
 *
 * @property delivered the number of tokens delivered
 * @property positionKnown whether every token carried its position, so that another engine can resume after them
 */
data class PartialAnswer(val delivered: Long, val positionKnown: Boolean) {
    /** Defines the empty answer. */
    companion object {
        /** No token was delivered. */
        val NONE: PartialAnswer = PartialAnswer(0, true)
    }
}

/** What to do after a failed attempt. */
sealed interface RetryDecision {
    /** Retry at another endpoint, resuming after [resumeAfter] tokens. */
    data class Retry(val resumeAfter: Long) : RetryDecision

    /** Report [failure] to the caller. */
    data class GiveUp(val failure: Failure) : RetryDecision
}

/**
 * Decides whether to retry failed work at another endpoint, up to [maximumAttempts] attempts and within [budget].
 *
 * Work that has not run can always be retried. Work with an unknown outcome is retried only when it is repeatable, and
 * only when the caller has received no tokens or exactly the tokens before a known position.
 */
class RetryPolicy(
    private val budget: RetryBudget,
    private val maximumAttempts: Int = 4,
) {
    /** Adds the retries that one request allows to the budget. */
    fun recordRequest() = budget.recordRequest()

    /** Decides what to do once attempt number [attempt], counted from 1, has ended with [failure]. */
    fun decideAfterFailure(
        failure: Failure,
        repeatable: Boolean,
        attempt: Int,
        partial: PartialAnswer = PartialAnswer.NONE,
    ): RetryDecision {
        val reported = withPartialDelivery(failure, partial)
        val canRetry = reported.effect == Effect.NOT_RUN || (repeatable && canResume(partial))
        if (!canRetry || attempt >= maximumAttempts || !budget.tryAcquire()) return RetryDecision.GiveUp(reported)
        return RetryDecision.Retry(partial.delivered)
    }

    private fun canResume(partial: PartialAnswer): Boolean = partial.delivered == 0L || partial.positionKnown

    /** Marks the effect as unknown if an earlier attempt delivered tokens, even when the last attempt did not run. */
    private fun withPartialDelivery(failure: Failure, partial: PartialAnswer): Failure =
        if (partial.delivered > 0) failure.copy(effect = Effect.UNKNOWN) else failure
}
