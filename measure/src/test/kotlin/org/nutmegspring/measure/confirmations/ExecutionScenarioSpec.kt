package org.nutmegspring.measure.confirmations

import org.junit.jupiter.api.Nested
import org.nutmegspring.measure.fault.Fault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ExecutionScenarioSpec {
    private val scenario = ExecutionScenario()

    @Nested
    inner class `given faults of all kinds` {
        @Test
        fun `no invariant is violated`() {
            (1L..SEEDS).forEach { seed -> assertNull(scenario.run(seed, STEPS).violation) }
        }

        @Test
        fun `the faults that it claims to cause have come`() {
            val injected = (1L..SEEDS).flatMap { scenario.run(it, STEPS).faults.filterValues { it > 0 }.keys }.toSet()
            val expected = setOf(
                Fault.STORE_DOWN,
                Fault.STORE_SLOW,
                Fault.REPLY_LOST,
                Fault.PAUSE,
                Fault.KILL,
                Fault.INSTANCE_CUT_OFF,
                Fault.ENDPOINT_CRASH,
                Fault.MESSAGE_DISORDER,
            )
            assertTrue(injected.containsAll(expected), "$injected")
        }

        @Test
        fun `equal seeds give equal runs`() {
            assertEquals(scenario.run(7, STEPS), scenario.run(7, STEPS))
        }
    }

    @Nested
    inner class `given a defect` {
        @Test
        fun `each is revealed by one of its invariants`() {
            scenario.defects.forEach { defect ->
                val violation = (1L..DEFECT_SEEDS).firstNotNullOfOrNull { scenario.run(it, STEPS, defect).violation }
                assertTrue(violation?.invariant in defect.caughtBy, "${defect.name}: $violation")
            }
        }
    }

    private companion object {
        const val SEEDS = 6L
        const val DEFECT_SEEDS = 30L
        const val STEPS = 10_000
    }
}
