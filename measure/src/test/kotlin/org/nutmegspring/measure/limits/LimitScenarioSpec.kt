package org.nutmegspring.measure.limits

import org.junit.jupiter.api.Nested
import org.nutmegspring.measure.fault.ScenarioOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LimitScenarioSpec {
    private val scenario = LimitScenario()

    private fun run(seed: Long) = scenario.run(seed, STEPS)

    @Nested
    inner class `given random faults` {
        @Test
        fun `no organisation passes its rate and burst in any window`() {
            SEEDS.forEach { assertNull(run(it).violation) }
        }

        @Test
        fun `every fault is injected`() {
            val injected = SEEDS.map { run(it) }.flatMap { it.faults.keys }.toSet()
            assertEquals(LimitFaults.FAULTS.toSet(), injected)
        }

        @Test
        fun `the same seed gives the same run`() {
            assertEquals<ScenarioOutcome>(run(3), run(3))
        }
    }

    @Nested
    inner class `given a defect` {
        @Test
        fun `each is caught`() {
            scenario.defects.forEach { defect ->
                val violation = DEFECT_SEEDS.firstNotNullOfOrNull { scenario.run(it, DEFECT_STEPS, defect).violation }
                assertNotNull(violation, defect.name)
                assertTrue(violation.invariant in defect.caughtBy, defect.name)
            }
        }
    }

    private companion object {
        const val STEPS = 10_000
        const val DEFECT_STEPS = 30_000
        val SEEDS = 1L..20L
        val DEFECT_SEEDS = 1L..40L
    }
}
