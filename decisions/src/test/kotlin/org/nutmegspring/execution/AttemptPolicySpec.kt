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

class AttemptPolicySpec {
    private val policy = AttemptPolicy(RetryBudget())
    private val notRun = Failure(Step.CONNECT, Peer("service a"), Effect.NOT_RUN, "refused")
    private val unknown = Failure(Step.READ_ANSWER, Peer("service a"), Effect.UNKNOWN, "reset")

    @Nested
    inner class `given work that is not repeatable` {
        @Test
        fun `it moves when it has not run`() {
            assertEquals(AfterFailure.TryAnother(0), policy.afterFailure(notRun, repeatable = false, attempt = 1))
        }

        @Test
        fun `it ends when its outcome is unknown`() {
            assertEquals(AfterFailure.GiveUp(unknown), policy.afterFailure(unknown, repeatable = false, attempt = 1))
        }
    }

    @Nested
    inner class `given repeatable work` {
        @Test
        fun `it moves after an unknown outcome`() {
            assertEquals(AfterFailure.TryAnother(0), policy.afterFailure(unknown, repeatable = true, attempt = 1))
        }

        @Test
        fun `it ends after the last attempt`() {
            assertIs<AfterFailure.GiveUp>(policy.afterFailure(unknown, repeatable = true, attempt = 4))
        }

        @Test
        fun `a stream goes on after the delivered tokens when their positions are known`() {
            val next = policy.afterFailure(unknown, true, 1, PartialAnswer(7, positionKnown = true))
            assertEquals(AfterFailure.TryAnother(7), next)
        }

        @Test
        fun `a stream ends when the positions of its tokens are not known`() {
            val next = policy.afterFailure(unknown, true, 1, PartialAnswer(7, positionKnown = false))
            assertEquals(AfterFailure.GiveUp(unknown), next)
        }

        @Test
        fun `a stream of which tokens were delivered is never called not run`() {
            val next = policy.afterFailure(notRun, true, 4, PartialAnswer(7, positionKnown = true))
            assertEquals(Effect.UNKNOWN, assertIs<AfterFailure.GiveUp>(next).failure.effect)
        }
    }

    @Nested
    inner class `given a budget that is used up` {
        @Test
        fun `retries are at most the share of the requests`() {
            val limited = AttemptPolicy(RetryBudget(share = 0.1, reserve = 5.0))
            val retries = (1..1000).count {
                limited.onRequest()
                limited.afterFailure(unknown, repeatable = true, attempt = 1) is AfterFailure.TryAnother
            }
            assertTrue(retries in 100..105, "$retries retries, a tenth of the requests and the reserve are 105")
        }
    }
}
