package org.nutmegspring.measure.lease

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ControlScenarioSpec {
    private val scenario = ControlScenario()

    @Nested
    inner class `given the rules of the product` {
        @Test
        fun `holds the invariants under every fault`() {
            for (seed in 1L..4L) assertNull(scenario.run(seed, STEPS).violation)
        }

        @Test
        fun `gives orders to engines and to the platform`() {
            val run = ControlRun(5, ControlRules())
            run.run(STEPS)
            assertTrue(ControlCount.entries.all { (run.world.counts[it] ?: 0) > 10 }, "${run.world.counts}")
        }

        @Test
        fun `runs alike from the same seed`() {
            assertEquals(scenario.run(7, STEPS), scenario.run(7, STEPS))
        }
    }

    @Nested
    inner class `given a defect` {
        @Test
        fun `reveals each of them`() {
            for (defect in scenario.defects) {
                val violation = (1L..DEFECT_SEEDS).firstNotNullOfOrNull { scenario.run(it, STEPS, defect).violation }
                assertNotNull(violation, "$defect was not revealed by $DEFECT_SEEDS seeds")
                assertEquals(true, violation.invariant in defect.caughtBy, "$defect was revealed as $violation")
            }
        }
    }

    private companion object {
        const val STEPS = 40_000
        const val DEFECT_SEEDS = 60L
    }
}
