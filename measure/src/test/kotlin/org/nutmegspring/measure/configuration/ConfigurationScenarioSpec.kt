package org.nutmegspring.measure.configuration

import org.junit.jupiter.api.Nested
import org.nutmegspring.measure.fault.Fault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ConfigurationScenarioSpec {
    private val scenario = ConfigurationScenario()

    @Nested
    inner class `a run` {
        @Test
        fun `violates nothing under random faults`() {
            (1L..SEEDS).forEach { seed -> assertNull(scenario.run(seed, STEPS).violation) }
        }

        @Test
        fun `depends on its seed alone`() {
            assertEquals(scenario.run(SEEDS, STEPS), scenario.run(SEEDS, STEPS))
        }

        @Test
        fun `injects every kind of fault over a few seeds`() {
            val injected = (1L..SEEDS).flatMap { scenario.run(it, STEPS).faults.keys }.toSet()
            val expected = Fault.entries - setOf(Fault.ENDPOINT_CRASH, Fault.POOL_RECLAIMED)
            assertEquals(expected.toSet(), injected)
        }
    }

    @Nested
    inner class `each defect` {
        @Test
        fun `is revealed by its invariants`() {
            scenario.defects.forEach { defect ->
                val violation = (1L..DEFECT_SEEDS).firstNotNullOfOrNull {
                    scenario.run(it, DEFECT_STEPS, defect).violation
                }
                assertNotNull(violation, defect.name)
                assertTrue(violation.invariant in defect.caughtBy, violation.toString())
            }
        }
    }

    private companion object {
        const val SEEDS = 8L
        const val STEPS = 20_000
        const val DEFECT_SEEDS = 60L
        const val DEFECT_STEPS = 60_000
    }
}
