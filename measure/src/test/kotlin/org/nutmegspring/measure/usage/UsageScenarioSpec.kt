package org.nutmegspring.measure.usage

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class UsageScenarioSpec {
    private val scenario = UsageScenario()

    @Nested
    inner class `given the rules of the product` {
        @Test
        fun `holds the invariants under every fault`() {
            for (seed in 1L..4L) assertNull(scenario.run(seed, STEPS).violation)
        }

        @Test
        fun `reports windows with figures, some of them late`() {
            val run = UsageRun(5, UsageRules())
            run.run(STEPS)
            assertTrue(run.fleet.truth.windows > 10 && run.fleet.truth.lateFigures > 0)
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
                assertTrue(violation.invariant in defect.caughtBy, "$defect was revealed as $violation")
            }
        }
    }

    private companion object {
        const val STEPS = 40_000
        const val DEFECT_SEEDS = 60L
    }
}
