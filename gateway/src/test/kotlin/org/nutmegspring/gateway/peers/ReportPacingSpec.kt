package org.nutmegspring.gateway.peers

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

class ReportPacingSpec {
    private fun bytesPerSecond(link: Double, reportBytes: Long, peers: Int): Double {
        val bytes = reportBytes * peers
        return bytes / ReportPacing(link).computeInterval(bytes, peers).toDouble(DurationUnit.SECONDS)
    }

    @Nested
    inner class `given a link of 7 Mbit per second` {
        @Test
        fun `reports of any size take no more than the target for control traffic`() {
            for (reportBytes in listOf(50L, 500, 5_000, 60_000)) {
                assertTrue(bytesPerSecond(link = 7.0, reportBytes, peers = 73) <= 16_000, "$reportBytes bytes")
            }
        }

        @Test
        fun `a report holds fewer entries the more instances receive it`() {
            val few = ReportPacing(7.0).computeEntries(peers = 8)
            val many = ReportPacing(7.0).computeEntries(peers = 73)
            assertTrue(many.loads < few.loads, "$many, $few")
        }
    }

    @Nested
    inner class `given a fast link` {
        @Test
        fun `a small fleet reports every 100 ms`() {
            assertEquals(100.milliseconds, ReportPacing(1000.0).computeInterval(bytes = 8_000, peers = 8))
        }

        @Test
        fun `a large fleet reports less often, as each report costs every receiver processor time`() {
            assertTrue(ReportPacing(1000.0).computeInterval(bytes = 30_000, peers = 73) in 500.milliseconds..1.seconds)
        }
    }
}
