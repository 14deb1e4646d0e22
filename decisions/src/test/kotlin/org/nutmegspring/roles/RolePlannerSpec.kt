package org.nutmegspring.roles

import org.junit.jupiter.api.Nested
import org.nutmegspring.routing.EngineCosts
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class RolePlannerSpec {
    private val capacity = RoleCapacity(EngineCosts(prefillSlowdownFactor = 2.0))
    private val allMixed = RoleCounts(0, 0, 12)
    private val promptHeavy = RoleDemand(190_000.0, 6_000.0, 7_500.0)
    private val outputHeavy = RoleDemand(60_000.0, 20_000.0, 3_000.0)
    private val planner = RolePlanner(capacity)

    /** Applies the plan after each step of five seconds and returns all allocations, the first included. */
    private fun run(start: RoleCounts, steps: Int, demand: (Int) -> RoleDemand): List<RoleCounts> =
        (0 until steps).runningFold(start) { counts, step ->
            val time = MonotonicTime.ZERO + 5.seconds * step
            planner.observe(demand(step), time)
            planner.plan(counts, 0, time)
        }

    @Nested
    inner class `given a steady demand that dedicated engines serve better` {
        @Test
        fun `roles change a few at a time and then stay`() {
            val allocations = run(allMixed, 200) { promptHeavy }
            allocations.zipWithNext { one, next -> assertTrue(one.countChangesTo(next) <= 2, "$one to $next") }
            assertTrue(allocations.last().prefill > allocations.last().decode, allocations.last().toString())
            assertEquals(allocations[100], allocations.last())
        }

        @Test
        fun `at all times some engine prefills and some engine decodes`() {
            val allocations = run(allMixed, 400) { if (it < 200) promptHeavy else outputHeavy }
            assertTrue(allocations.all { it.mixed > 0 || (it.prefill > 0 && it.decode > 0) })
            assertTrue(allocations.all { it.total == 12 })
        }
    }

    @Nested
    inner class `given a mix that swings faster than role changes pay off` {
        @Test
        fun `roles converge and do not follow the swing`() {
            val allocations = run(allMixed, 400) { if (it / 6 % 2 == 0) promptHeavy else outputHeavy }
            assertEquals(setOf(allocations[200]), allocations.drop(200).toSet())
        }
    }

    @Nested
    inner class `given a change in progress` {
        @Test
        fun `no further change starts`() {
            repeat(100) { planner.observe(promptHeavy, MonotonicTime.ZERO + 5.seconds * it) }
            assertEquals(allMixed, planner.plan(allMixed, 1, MonotonicTime.ZERO + 495.seconds))
        }
    }

    @Nested
    inner class `given less than half the horizon of demand` {
        @Test
        fun `roles stay as they are`() {
            planner.observe(promptHeavy, MonotonicTime.ZERO)
            assertEquals(allMixed, planner.plan(allMixed, 0, MonotonicTime.ZERO + 5.seconds))
        }
    }
}
