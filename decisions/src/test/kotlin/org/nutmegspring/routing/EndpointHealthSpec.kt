package org.nutmegspring.routing

import org.junit.jupiter.api.Nested
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class EndpointHealthSpec {
    private val start = MonotonicTime.ZERO
    private val health = EndpointHealth()

    private fun failRequest(time: MonotonicTime) {
        health.recordStart(time)
        health.recordFailure(time)
    }

    @Nested
    inner class `given two failures` {
        @Test
        fun `the circuit opens and then allows a single probe`() {
            repeat(2) { failRequest(start) }
            assertFalse(health.canSend(start + 0.9.seconds))
            assertTrue(health.canSend(start + 1.seconds))
            health.recordStart(start + 1.seconds)
            assertFalse(health.canSend(start + 1.1.seconds))
        }

        @Test
        fun `a success between the failures keeps the circuit closed`() {
            failRequest(start)
            health.recordSuccess()
            failRequest(start)
            assertTrue(health.canSend(start))
        }

        @Test
        fun `a late success of an earlier request does not close the circuit`() {
            repeat(2) { failRequest(start) }
            health.recordSuccess()
            assertFalse(health.canSend(start + 0.5.seconds))
        }
    }

    @Nested
    inner class `given a probe` {
        @Test
        fun `a success closes the circuit`() {
            repeat(2) { failRequest(start) }
            health.recordStart(start + 1.seconds)
            health.recordSuccess()
            assertTrue(health.canSend(start + 1.seconds))
        }

        @Test
        fun `each failure doubles the open duration up to the maximum`() {
            repeat(2) { failRequest(start) }
            var time = start
            val openDurations = List(6) {
                val from = time
                while (!health.canSend(time)) time += 1.seconds
                failRequest(time)
                time - from
            }
            assertEquals(listOf(1, 2, 4, 8, 15, 15).map { it.seconds }, openDurations)
        }

        @Test
        fun `another probe is sent if the outcome of the first is not reported`() {
            repeat(2) { failRequest(start) }
            health.recordStart(start + 1.seconds)
            assertTrue(health.canSend(start + 11.seconds))
        }
    }
}
