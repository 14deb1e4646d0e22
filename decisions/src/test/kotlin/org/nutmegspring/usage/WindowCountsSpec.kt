package org.nutmegspring.usage

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.OrganisationId
import kotlin.test.Test
import kotlin.test.assertEquals

class WindowCountsSpec {
    private val counts = WindowCounts(windowMilliseconds = 5_000)
    private val theatre = OrganisationId("theatre")

    @Nested
    inner class `when requests begin` {
        @Test
        fun `each counts in the window of its beginning`() {
            counts.began(theatre, 4_999)
            counts.began(theatre, 5_000)
            counts.began(theatre, 9_999)
            assertEquals(mapOf(0L to mapOf(theatre to 1L), 1L to mapOf(theatre to 2L)), counts.snapshot())
        }

        @Test
        fun `windows long past are forgotten`() {
            repeat(20) { counts.began(theatre, it * 5_000L) }
            assertEquals((15L..19L).toSet(), counts.snapshot().keys)
        }
    }
}
