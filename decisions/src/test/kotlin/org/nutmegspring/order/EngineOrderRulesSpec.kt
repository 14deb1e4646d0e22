package org.nutmegspring.order

import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineState
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.ModelId
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EngineOrderRulesSpec {
    private val timing = LeaseTiming()
    private val rules = EngineOrderRules(timing, requestLimit = 2.seconds)
    private val engine = EndpointId("rennes-1")
    private val decode = EngineTarget(EngineRole.DECODE, ModelId("granite"), "1")
    private val prefill = EngineTarget(EngineRole.PREFILL, ModelId("granite"), "1")
    private val answeredAt = MonotonicTime.ZERO + 10.seconds

    private fun recorded(fencing: Long, outcome: OrderOutcome = OrderOutcome.INTENDED) =
        EngineOrderRecord(engine, decode, FencingToken(fencing), 3, outcome)

    @Nested
    inner class `given a recorded order` {
        @Test
        fun `numbers the next one after it`() {
            val decision = rules.intent(engine, prefill, FencingToken(5), recorded(4))
            assertEquals(4, assertIs<IntentDecision.Record>(decision).record.sequence)
        }

        @Test
        fun `records its own order before it carries out that of a former holder`() {
            assertIs<IntentDecision.Record>(rules.intent(engine, decode, FencingToken(5), recorded(4)))
        }

        @Test
        fun `resumes its own unfinished order`() {
            assertIs<IntentDecision.Resume>(rules.intent(engine, decode, FencingToken(4), recorded(4)))
        }

        @Test
        fun `gives way to a later holder`() {
            assertIs<IntentDecision.Superseded>(rules.intent(engine, prefill, FencingToken(3), recorded(4)))
        }
    }

    @Nested
    inner class `given a connection on which the engine has answered` {
        private val closedAt = answeredAt + timing.outlasting(2.seconds)
        private val quietUntil = closedAt + 1.seconds

        private fun maySend(validUntil: MonotonicTime, quietUntil: MonotonicTime = this.quietUntil): Boolean =
            rules.maySend(HeldLease(FencingToken(4), validUntil), FencingToken(4), answeredAt, quietUntil)

        @Test
        fun `sends only when the lease outlasts the limit of the connection`() {
            assertTrue(maySend(closedAt + 1.milliseconds))
            assertFalse(maySend(closedAt))
        }

        @Test
        fun `sends only when the engine stays quiet for the limit of the connection`() {
            assertFalse(maySend(closedAt + 1.seconds, quietUntil = closedAt))
        }

        @Test
        fun `sends nothing under a lease with another fencing number or without one`() {
            val held = HeldLease(FencingToken(5), closedAt + 1.seconds)
            assertFalse(rules.maySend(held, FencingToken(4), answeredAt, quietUntil))
            assertFalse(rules.maySend(null, FencingToken(4), answeredAt, quietUntil))
        }
    }

    @Nested
    inner class `given the state of an engine` {
        private fun judge(target: EngineTarget, changing: Boolean, active: Int): EngineJudgement =
            rules.judge(EngineState(target, changing, 0, FencingToken(0), active), recorded(4))

        @Test
        fun `orders it only when it neither changes nor holds requests`() {
            assertEquals(EngineJudgement.CHANGING, judge(prefill, changing = true, active = 0))
            assertEquals(EngineJudgement.OCCUPIED, judge(prefill, changing = false, active = 1))
            assertEquals(EngineJudgement.SENDABLE, judge(prefill, changing = false, active = 0))
            assertEquals(EngineJudgement.REACHED, judge(decode, changing = false, active = 1))
        }
    }
}
