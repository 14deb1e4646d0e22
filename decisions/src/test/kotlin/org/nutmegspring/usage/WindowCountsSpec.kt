package org.nutmegspring.usage

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.OrganisationId
import kotlin.test.Test
import kotlin.test.assertEquals

class WindowCountsSpec {
    private val counts = WindowCounts(windowMilliseconds = 5_000)
    private val theatre = OrganisationId("theatre")

    @Nested
    inner class `when requests start` {
        @Test
        fun `each is counted in the window in which it started`() {
            counts.recordStart(theatre, 4_999)
            counts.recordStart(theatre, 5_000)
            counts.recordStart(theatre, 9_999)
            assertEquals(mapOf(0L to mapOf(theatre to 1L), 1L to mapOf(theatre to 2L)), counts.snapshot())
        }

        @Test
        fun `old windows are dropped`() {
            repeat(20) { counts.recordStart(theatre, it * 5_000L) }
            assertEquals((15L..19L).toSet(), counts.snapshot().keys)
        }
    }
}
