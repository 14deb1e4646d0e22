package org.nutmegspring.lease

import org.junit.jupiter.api.Nested
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Leases in a store that returns from older copies at any time. */
class RestoredLeaseSpec {
    private val timing = LeaseTiming(duration = 3.seconds, renewInterval = 1.seconds)

    private class Outcome(val isHeld: Boolean, val arrivals: List<LeaseSimulation.Arrival>) {
        val isTokenLowered = arrivals.zipWithNext().any { (earlier, later) -> later.fencing < earlier.fencing }
        val isTokenShared = arrivals.groupBy { it.fencing }.values.any { calls ->
            calls.distinctBy { it.holder }.size >
                1
        }
        val isSafe = !isTokenLowered && !isTokenShared
    }

    private fun run(seed: Int, rules: LeaseRules): Outcome {
        val simulation = LeaseSimulation(seed, rules)
        return Outcome(simulation.run(), simulation.arrivals)
    }

    // Guards against ONE: a step of the wall clock ended the wait for another's lease, and two processes held it.
    @Nested
    inner class `given restores, pauses, restarts, lost calls, suspensions and clock steps at random` {
        private val outcomes = (1..SEEDS).associateWith { run(it, LeaseRules(timing)) }

        @Test
        fun `no token is used by two holders, and none is used after a greater one`() {
            assertEquals(emptySet(), outcomes.filterValues { !it.isSafe }.keys)
            assertTrue(outcomes.values.all { it.arrivals.isNotEmpty() })
        }

        @Test
        fun `a process holds the lease in the end`() {
            assertEquals(emptySet(), outcomes.filterValues { !it.isHeld }.keys)
        }
    }

    @Nested
    inner class `given a process that does not wait for the leases of the era before` {
        private val hasty = object : LeaseRules(timing) {
            override fun earliestInNewEra(now: MonotonicTime): MonotonicTime = now
        }

        @Test
        fun `a token is used after a greater one`() {
            assertTrue((1..SEEDS).any { run(it, hasty).isTokenLowered })
        }
    }

    private companion object {
        const val SEEDS = 200
    }
}
