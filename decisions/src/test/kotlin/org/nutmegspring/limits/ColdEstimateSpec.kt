package org.nutmegspring.limits

import org.junit.jupiter.api.Nested
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ColdEstimateSpec {
    private val estimate = ColdEstimate()
    private var now = MonotonicTime.ZERO + 1.days

    private fun remaining() = estimate.remaining(COLD_TIME, now)

    @Nested
    inner class `when sources differ` {
        @Test
        fun `an entry that states less does not end what an answer stated`() {
            estimate.recordAnswer(3.seconds, now, now, COLD_TIME)
            now += 100.milliseconds
            estimate.recordEntry(Duration.ZERO, isNew = true, now)
            estimate.recordEntry(200.milliseconds, isNew = true, now)
            assertEquals(2900.milliseconds, remaining())
        }

        @Test
        fun `only an answer to a later request ends a presumption`() {
            val sentAt = now
            now += 10.milliseconds
            estimate.presume(ColdSource.NEW_PROCESS, COLD_TIME, now)
            estimate.recordAnswer(Duration.ZERO, sentAt, now, COLD_TIME)
            assertEquals(COLD_TIME, remaining())
            estimate.recordAnswer(null, now, now, COLD_TIME)
            assertEquals(COLD_TIME, remaining())
            estimate.recordAnswer(Duration.ZERO, now, now, COLD_TIME)
            assertEquals(Duration.ZERO, remaining())
        }

        @Test
        fun `a report of older evidence than the own does not end it, one of newer evidence does`() {
            estimate.recordAnswer(COLD_TIME, now, now, COLD_TIME)
            now += 1.seconds
            estimate.recordPeer(Duration.ZERO, age = 2.seconds, now)
            assertEquals(2.seconds, remaining())
            estimate.recordPeer(Duration.ZERO, age = 500.milliseconds, now)
            assertEquals(Duration.ZERO, remaining())
        }
    }

    @Nested
    inner class `when an endpoint cannot be reached` {
        @Test
        fun `it is treated as cold until it answers, and for the cold time after that`() {
            estimate.recordUnreachable(now)
            now += 20.seconds
            assertEquals(COLD_TIME, remaining())
            estimate.recordAnswer(null, now, now, COLD_TIME)
            now += 1.seconds
            assertEquals(2.seconds, remaining())
        }

        @Test
        fun `an answer to a request from before does not count, and one that states the time is believed`() {
            val sentAt = now
            now += 1.seconds
            estimate.recordUnreachable(now)
            estimate.recordAnswer(null, sentAt, now, COLD_TIME)
            now += 10.seconds
            assertEquals(COLD_TIME, remaining())
            estimate.recordAnswer(Duration.ZERO, now, now, COLD_TIME)
            assertEquals(Duration.ZERO, remaining())
        }
    }

    @Nested
    inner class `when other instances are told` {
        @Test
        fun `statements and new processes are told, doubts about the own link and reports of others are not`() {
            estimate.presume(ColdSource.ENTRY_RETURNED, 1.seconds, now)
            assertNull(estimate.shareableAge(RETENTION, now))
            estimate.recordPeer(2.seconds, Duration.ZERO, now)
            assertNull(estimate.shareableAge(RETENTION, now))
            estimate.recordAnswer(3.seconds, now, now, COLD_TIME)
            assertEquals(Duration.ZERO, estimate.shareableAge(RETENTION, now))
        }

        @Test
        fun `the end is told for a while, also when further answers repeat it`() {
            estimate.recordAnswer(3.seconds, now, now, COLD_TIME)
            repeat(8) {
                now += 1.seconds
                estimate.recordAnswer(Duration.ZERO, now, now, COLD_TIME)
                if (it == 2) assertNotNull(estimate.shareableAge(RETENTION, now))
            }
            assertNull(estimate.shareableAge(RETENTION, now))
        }

        @Test
        fun `an old entry in the first listing is not told`() {
            estimate.recordEntry(3.seconds, isNew = false, now)
            assertEquals(3.seconds, remaining())
            assertNull(estimate.shareableAge(RETENTION, now))
        }
    }

    private companion object {
        val COLD_TIME = 3.seconds
        val RETENTION = 5.seconds
    }
}
