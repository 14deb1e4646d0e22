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
        fun `gives the next order the next sequence number`() {
            val decision = rules.decideIntent(engine, prefill, FencingToken(5), recorded(4))
            assertEquals(4, assertIs<IntentDecision.Record>(decision).record.sequence)
        }

        @Test
        fun `records its own order instead of resuming that of an earlier holder`() {
            assertIs<IntentDecision.Record>(rules.decideIntent(engine, decode, FencingToken(5), recorded(4)))
        }

        @Test
        fun `resumes its own unfinished order`() {
            assertIs<IntentDecision.Resume>(rules.decideIntent(engine, decode, FencingToken(4), recorded(4)))
        }

        @Test
        fun `is superseded by a later holder`() {
            assertIs<IntentDecision.Superseded>(rules.decideIntent(engine, prefill, FencingToken(3), recorded(4)))
        }
    }

    @Nested
    inner class `given a connection on which the engine has answered` {
        private val closedAt = answeredAt + timing.withClockMargin(2.seconds)
        private val quietUntil = closedAt + 1.seconds

        private fun canSend(validUntil: MonotonicTime, quietUntil: MonotonicTime = this.quietUntil): Boolean =
            rules.canSend(
                HeldLease(FencingToken(4), MonotonicTime.ZERO, validUntil - MonotonicTime.ZERO),
                FencingToken(4),
                answeredAt,
                quietUntil,
            )

        @Test
        fun `sends only when the lease outlasts the request limit of the connection`() {
            assertTrue(canSend(closedAt + 1.milliseconds))
            assertFalse(canSend(closedAt))
        }

        @Test
        fun `sends only when the engine gets no new work until the request limit of the connection has passed`() {
            assertFalse(canSend(closedAt + 1.seconds, quietUntil = closedAt))
        }

        @Test
        fun `sends nothing under a lease with another fencing number or without one`() {
            val held = HeldLease(FencingToken(5), closedAt, 1.seconds)
            assertFalse(rules.canSend(held, FencingToken(4), answeredAt, quietUntil))
            assertFalse(rules.canSend(null, FencingToken(4), answeredAt, quietUntil))
        }
    }

    @Nested
    inner class `given the state of an engine` {
        private fun determineProgress(target: EngineTarget, changing: Boolean, active: Int): EngineOrderProgress =
            rules.determineProgress(EngineState(target, changing, 0, FencingToken(0), active), recorded(4))

        @Test
        fun `is sendable only when the engine is neither changing nor running requests`() {
            assertEquals(EngineOrderProgress.CHANGING, determineProgress(prefill, changing = true, active = 0))
            assertEquals(EngineOrderProgress.OCCUPIED, determineProgress(prefill, changing = false, active = 1))
            assertEquals(EngineOrderProgress.SENDABLE, determineProgress(prefill, changing = false, active = 0))
            assertEquals(EngineOrderProgress.REACHED, determineProgress(decode, changing = false, active = 1))
        }
    }
}
