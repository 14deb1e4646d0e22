package org.nutmegspring.spending

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class FleetDemandEstimateSpec {
    private val estimate = FleetDemandEstimate()
    private val totals = HashMap<Int, DemandCounts>()
    private var elapsed = Duration.ZERO
    private val now get() = MonotonicTime.ZERO + elapsed

    /** Lets a second pass in which each of [instances] was asked for [tokens], and those of [reporting] told so. */
    private fun pass(instances: Int, tokens: Long, reporting: List<Int> = List(instances) { it }, refused: Long = 0) {
        elapsed += 1.seconds
        repeat(instances) {
            val before = totals[it] ?: DemandCounts()
            totals[it] = DemandCounts(
                before.promptTokens + tokens,
                before.outputMilliseconds + 500,
                before.refusedTokens + refused,
            )
        }
        reporting.forEach { report(it) }
        estimate.sample(instances, now)
    }

    private fun report(instance: Int, process: Int = instance) =
        estimate.record(Incarnation(process.toLong()), totals.getValue(instance), elapsed, 4.seconds, now)

    private fun read(): FleetDemand = assertNotNull(estimate.read(now))

    @Nested
    inner class `given the reports of all instances` {
        @Test
        fun `their rates add up`() {
            repeat(6) { pass(instances = 3, tokens = 10_000) }
            assertEquals(30.0, read().promptTokensPerMillisecond, 0.01)
            assertEquals(1.5, read().outputSlots, 0.01)
        }

        @Test
        fun `the peak of a swing counts for the time of the next swings`() {
            repeat(6) { pass(instances = 3, tokens = 1_000) }
            pass(instances = 3, tokens = 20_000)
            repeat(28) { pass(instances = 3, tokens = 1_000) }
            assertEquals(60.0, read().promptTokensPerMillisecond, 0.01)
            repeat(5) { pass(instances = 3, tokens = 1_000) }
            assertEquals(3.0, read().promptTokensPerMillisecond, 0.01)
        }

        @Test
        fun `what is prefilled into empty caches at the start does not count as the peak`() {
            repeat(3) { pass(instances = 3, tokens = 50_000) }
            repeat(6) { pass(instances = 3, tokens = 1_000) }
            assertEquals(3.0, read().promptTokensPerMillisecond, 0.01)
        }

        @Test
        fun `the share that was refused lately is known`() {
            repeat(6) { pass(instances = 2, tokens = 1_000) }
            assertEquals(0.0, read().refusedShare)
            repeat(6) { pass(instances = 2, tokens = 1_000, refused = 100) }
            assertEquals(0.1, read().refusedShare, 0.01)
        }
    }

    @Nested
    inner class `when reports are late or lost` {
        @Test
        fun `the next report also covers what a lost one told`() {
            repeat(6) { pass(instances = 3, tokens = 10_000) }
            pass(instances = 3, tokens = 40_000, reporting = listOf(0, 1))
            pass(instances = 3, tokens = 40_000, reporting = listOf(0, 1, 2))
            assertEquals(120.0, read().promptTokensPerMillisecond, 0.01)
        }

        @Test
        fun `the last known rate counts until it expires, then the mean of the others`() {
            repeat(6) { pass(instances = 4, tokens = 10_000) }
            repeat(20) { pass(instances = 4, tokens = 10_000, reporting = listOf(0, 1, 2)) }
            assertEquals(40.0, read().promptTokensPerMillisecond, 0.01)
            assertTrue(read().isComplete)
        }

        @Test
        fun `the history breaks off when fewer than half of the instances report`() {
            repeat(20) { pass(instances = 4, tokens = 10_000) }
            assertTrue(read().isComplete)
            repeat(5) { pass(instances = 4, tokens = 10_000, reporting = listOf(0)) }
            assertFalse(read().isComplete)
            assertEquals(40.0, read().promptTokensPerMillisecond, 0.01)
            repeat(10) { pass(instances = 4, tokens = 10_000, reporting = listOf(0)) }
            assertNull(estimate.read(now))
        }
    }

    @Nested
    inner class `when a process starts anew` {
        @Test
        fun `its smaller counts are no negative demand`() {
            repeat(6) { pass(instances = 2, tokens = 10_000) }
            totals[1] = DemandCounts(promptTokens = 5)
            elapsed += 1.seconds
            report(instance = 1, process = 7)
            estimate.sample(2, now)
            assertEquals(20.0, read().promptTokensPerMillisecond, 0.01)
        }
    }

    @Nested
    inner class `before the traffic` {
        @Test
        fun `nothing is known`() = assertNull(estimate.read(now))

        @Test
        fun `instances without requests are no demand`() {
            repeat(20) { pass(instances = 2, tokens = 0) }
            assertNull(estimate.read(now))
        }

        @Test
        fun `a single request is no history of the traffic`() {
            repeat(3) { pass(instances = 2, tokens = 0) }
            pass(instances = 2, tokens = 100)
            repeat(20) { pass(instances = 2, tokens = 0) }
            assertFalse(read().isComplete)
            repeat(14) { pass(instances = 2, tokens = 10_000) }
            assertFalse(read().isComplete)
            repeat(3) { pass(instances = 2, tokens = 10_000) }
            assertTrue(read().isComplete)
        }
    }
}
