package org.nutmegspring.currency

import org.junit.jupiter.api.Nested
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.time.agesWithoutSuspension
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class FreshnessEvidenceSpec {
    private val evidence = FreshnessEvidence()

    private fun at(seconds: Int) = MonotonicTime.ZERO + seconds.seconds

    private fun agesAt(seconds: Int) = at(seconds).agesWithoutSuspension()

    @Nested
    inner class `without a confirmation` {
        @Test
        fun `there is no evidence`() {
            assertNull(evidence.age(agesAt(1)))
            assertFalse(evidence.isYoungerThan(10.seconds, agesAt(1)))
        }
    }

    @Nested
    inner class `after a confirmation` {
        @Test
        fun `its age is measured from the start of the call`() {
            evidence.recordConfirmation(at(2))
            assertEquals(3.seconds, evidence.age(agesAt(5)))
            assertTrue(evidence.isYoungerThan(4.seconds, agesAt(5)))
            assertFalse(evidence.isYoungerThan(3.seconds, agesAt(5)))
        }

        @Test
        fun `a call that started earlier does not make it older`() {
            evidence.recordConfirmation(at(4))
            evidence.recordConfirmation(at(2))
            assertEquals(1.seconds, evidence.age(agesAt(5)))
        }
    }
}
