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

    private fun fail(time: MonotonicTime) {
        health.started(time)
        health.failed(time)
    }

    @Nested
    inner class `given two failures` {
        @Test
        fun `nothing is sent until the pause is over, then one request as a trial`() {
            repeat(2) { fail(start) }
            assertFalse(health.permits(start + 0.9.seconds))
            assertTrue(health.permits(start + 1.seconds))
            health.started(start + 1.seconds)
            assertFalse(health.permits(start + 1.1.seconds))
        }

        @Test
        fun `a success in between keeps the endpoint`() {
            fail(start)
            health.succeeded()
            fail(start)
            assertTrue(health.permits(start))
        }

        @Test
        fun `a late success of earlier work does not bring it back`() {
            repeat(2) { fail(start) }
            health.succeeded()
            assertFalse(health.permits(start + 0.5.seconds))
        }
    }

    @Nested
    inner class `given a trial` {
        @Test
        fun `success brings the endpoint back`() {
            repeat(2) { fail(start) }
            health.started(start + 1.seconds)
            health.succeeded()
            assertTrue(health.permits(start + 1.seconds))
        }

        @Test
        fun `each failure doubles the pause up to its bound`() {
            repeat(2) { fail(start) }
            var time = start
            val pauses = List(6) {
                val from = time
                while (!health.permits(time)) time += 1.seconds
                fail(time)
                time - from
            }
            assertEquals(listOf(1, 2, 4, 8, 15, 15).map { it.seconds }, pauses)
        }

        @Test
        fun `another is made when its outcome never comes`() {
            repeat(2) { fail(start) }
            health.started(start + 1.seconds)
            assertTrue(health.permits(start + 11.seconds))
        }
    }
}
