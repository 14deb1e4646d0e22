package org.nutmegspring.execution

import org.junit.jupiter.api.Nested
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RetryPolicySpec {
    private val policy = RetryPolicy(RetryBudget())
    private val notRun = Failure(Step.CONNECT, Peer("service a"), Effect.NOT_RUN, "refused")
    private val unknown = Failure(Step.READ_ANSWER, Peer("service a"), Effect.UNKNOWN, "reset")

    @Nested
    inner class `given work that is not repeatable` {
        @Test
        fun `is retried when it has not run`() {
            assertEquals(RetryDecision.Retry(0), policy.decideAfterFailure(notRun, repeatable = false, attempt = 1))
        }

        @Test
        fun `is not retried when its outcome is unknown`() {
            val decision = policy.decideAfterFailure(unknown, repeatable = false, attempt = 1)
            assertEquals(RetryDecision.GiveUp(unknown), decision)
        }
    }

    @Nested
    inner class `given repeatable work` {
        @Test
        fun `is retried after an unknown outcome`() {
            assertEquals(RetryDecision.Retry(0), policy.decideAfterFailure(unknown, repeatable = true, attempt = 1))
        }

        @Test
        fun `is not retried after the last attempt`() {
            assertIs<RetryDecision.GiveUp>(policy.decideAfterFailure(unknown, repeatable = true, attempt = 4))
        }

        @Test
        fun `a stream resumes after the delivered tokens when their positions are known`() {
            val next = policy.decideAfterFailure(unknown, true, 1, PartialAnswer(7, positionKnown = true))
            assertEquals(RetryDecision.Retry(7), next)
        }

        @Test
        fun `a stream is not retried when the positions of its tokens are unknown`() {
            val next = policy.decideAfterFailure(unknown, true, 1, PartialAnswer(7, positionKnown = false))
            assertEquals(RetryDecision.GiveUp(unknown), next)
        }

        @Test
        fun `a stream with delivered tokens is never reported as not run`() {
            val next = policy.decideAfterFailure(notRun, true, 4, PartialAnswer(7, positionKnown = true))
            assertEquals(Effect.UNKNOWN, assertIs<RetryDecision.GiveUp>(next).failure.effect)
        }
    }

    @Nested
    inner class `given an exhausted budget` {
        @Test
        fun `retries are limited to the retry ratio of the requests`() {
            val limited = RetryPolicy(RetryBudget(retryRatio = 0.1, capacity = 5.0))
            val retries = (1..1000).count {
                limited.recordRequest()
                limited.decideAfterFailure(unknown, repeatable = true, attempt = 1) is RetryDecision.Retry
            }
            assertTrue(
                retries in 100..105,
                "$retries retries, expected at most 105, a tenth of the requests plus capacity",
            )
        }
    }
}
