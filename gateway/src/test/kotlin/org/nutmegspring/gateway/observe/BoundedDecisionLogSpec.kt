package org.nutmegspring.gateway.observe

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.identity.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class BoundedDecisionLogSpec {
    private val clock = TestClock()
    private val written = mutableListOf<DecisionEvent>()
    private val log = BoundedDecisionLog(clock, linesPerSecond = 100) { written += it }

    private fun ended(outcome: RequestOutcome) = DecisionEvent.RequestEnded(
        RequestId("r"),
        null,
        null,
        outcome,
        200,
        null,
        RequestTrace(),
        DecisionBasis(1, 1.seconds),
    )

    @Nested
    inner class `under a flood of served requests` {
        @Test
        fun `refusals and failures are still written`() {
            repeat(1_000) { log.record(ended(RequestOutcome.DELIVERED)) }
            repeat(40) { log.record(ended(RequestOutcome.REFUSED)) }
            assertEquals(40, written.count { !it.isRoutine && it is DecisionEvent.RequestEnded })
        }

        @Test
        fun `lines about a planned stop are written although the rate is reached`() {
            repeat(1_000) { log.record(ended(RequestOutcome.FAILED)) }
            PlannedStopLog(clock, EventLoopDelay(), log) { CallerLoad(0, 0, 0, 0, 0) }.begin()
            assertEquals(1, written.count { it is DecisionEvent.StopProgressed })
        }

        @Test
        fun `the rate is kept, and the number of dropped lines is written`() {
            repeat(100) {
                repeat(100) { log.record(ended(RequestOutcome.FAILED)) }
                clock.advance(100.milliseconds)
            }
            assertTrue(written.size <= 100 + 10 * 100, "${written.size}")
            assertTrue(written.any { it is DecisionEvent.LinesDropped })
        }
    }
}
