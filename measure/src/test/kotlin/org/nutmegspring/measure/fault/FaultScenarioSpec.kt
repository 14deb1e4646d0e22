package org.nutmegspring.measure.fault

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class FaultScenarioSpec {
    private val scenarios = FaultScenarioProvider().scenarios

    @TestFactory
    fun `every scenario runs without a violation`(): List<DynamicTest> = scenarios.flatMap { scenario ->
        SEEDS.map { seed ->
            DynamicTest.dynamicTest("${scenario.name} with seed $seed") {
                assertNull(scenario.run(seed, STEPS).violation?.toString())
            }
        }
    }

    @TestFactory
    fun `every scenario repeats its run from its seed`(): List<DynamicTest> = scenarios.map { scenario ->
        DynamicTest.dynamicTest(scenario.name) {
            assertEquals(scenario.run(SEEDS.first, STEPS), scenario.run(SEEDS.first, STEPS))
        }
    }

    @TestFactory
    fun `every deliberate defect is revealed`(): List<DynamicTest> = scenarios.flatMap { scenario ->
        scenario.defects.map { defect ->
            DynamicTest.dynamicTest("${scenario.name}: ${defect.name}") {
                assertTrue(DefectTrial(scenario, defect).run(SEEDS.first).caught)
            }
        }
    }

    private companion object {
        const val STEPS = 20_000
        val SEEDS = 1L..5L
    }
}
