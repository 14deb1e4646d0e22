package org.nutmegspring.execution

import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure

/**
 * What is known of the answer of an attempt that failed.
 *
 * @property delivered how many tokens the caller has
 * @property positionKnown whether each of them came with its position, so that another engine can go on after them
 */
data class PartialAnswer(val delivered: Long, val positionKnown: Boolean) {
    /** Holds the answer of which nothing was delivered. */
    companion object {
        /** Nothing was delivered. */
        val NONE: PartialAnswer = PartialAnswer(0, true)
    }
}

/** What to do after an attempt failed. */
sealed interface AfterFailure {
    /** Try another endpoint and have it begin after [alreadySent] tokens. */
    data class TryAnother(val alreadySent: Long) : AfterFailure

    /** Tell the caller of [failure]. */
    data class GiveUp(val failure: Failure) : AfterFailure
}

/**
 * Decides whether work moves to another endpoint.
 *
 * Work that has not run may always move. Work whose outcome is unknown moves only when it is repeatable, and only when
 * the caller has nothing yet or exactly the tokens before a known position.
 */
class AttemptPolicy(
    private val budget: RetryBudget,
    private val maximumAttempts: Int = 4,
) {
    /** Counts a request towards the budget. */
    fun onRequest() = budget.onRequest()

    /** Returns what to do after attempt number [attempt], counted from 1, ended with [failure]. */
    fun afterFailure(
        failure: Failure,
        repeatable: Boolean,
        attempt: Int,
        partial: PartialAnswer = PartialAnswer.NONE,
    ): AfterFailure {
        val told = overall(failure, partial)
        val mayMove = told.effect == Effect.NOT_RUN || (repeatable && mayContinue(partial))
        if (!mayMove || attempt >= maximumAttempts || !budget.takeRetry()) return AfterFailure.GiveUp(told)
        return AfterFailure.TryAnother(partial.delivered)
    }

    private fun mayContinue(partial: PartialAnswer): Boolean = partial.delivered == 0L || partial.positionKnown

    /** A last attempt that was refused does not undo that an earlier one delivered tokens. */
    private fun overall(failure: Failure, partial: PartialAnswer): Failure =
        if (partial.delivered > 0) failure.copy(effect = Effect.UNKNOWN) else failure
}
