package org.nutmegspring.gateway.observe

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds

class PlannedStopLogSpec {
    private val clock = TestClock()
    private val written = mutableListOf<DecisionEvent>()
    private val stop = PlannedStopLog(clock, EventLoopDelay(), { written += it }) { CallerLoad(3, 5, 1, 2, 0) }

    private fun phases() = written.map { it.fields()["stopPhase"] }

    @Nested
    inner class `before a stop` {
        @Test
        fun `nothing is written or counted`() {
            stop.enter(StopPhase.REFUSING)
            stop.recordEnd(RequestOutcome.DELIVERED)
            assertEquals(emptyList(), written)
            assertEquals(StopOutcomes(), stop.outcomes)
            assertNull(stop.progress)
        }
    }

    @Nested
    inner class `during a stop` {
        @Test
        fun `each phase has one line, with its time and the outcomes until then`() {
            stop.begin()
            clock.advance(2_400.milliseconds)
            repeat(3) { stop.enter(StopPhase.REFUSING) }
            stop.recordEnd(RequestOutcome.BROKEN_OFF)
            stop.recordUnanswered()
            clock.advance(5_000.milliseconds)
            stop.enter(StopPhase.ENDING)
            assertEquals(listOf<Any?>("accepting", "refusing", "ending"), phases())
            val last = written.last().fields()
            assertEquals(listOf<Any?>(7_400L, 1, 1, 3, 2), LAST_FIELDS.map { last[it] })
        }

        @Test
        fun `an earlier phase is not entered again`() {
            stop.begin()
            stop.enter(StopPhase.ENDING)
            stop.enter(StopPhase.REFUSING)
            assertEquals(listOf<Any?>("accepting", "ending"), phases())
        }
    }

    private companion object {
        val LAST_FIELDS = listOf("stopMilliseconds", "brokenOff", "unanswered", "running", "queued")
    }
}
