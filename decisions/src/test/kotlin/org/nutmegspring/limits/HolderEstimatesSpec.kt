package org.nutmegspring.limits

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals

class HolderEstimatesSpec {
    private val holder = InstanceId("holder")
    private val slot = BucketRate(10.0, 100.0)
    private val now = MonotonicTime.ZERO
    private val estimates = HolderEstimates(LimitSettings(), InstanceId("self")).also {
        it.updateSlots(mapOf(holder to 1))
    }

    @Nested
    inner class `given a holder that does not answer` {
        @Test
        fun `it is asked once more`() {
            estimates.recordUnanswered(holder, now)
            assertEquals(listOf(holder), estimates.planRequests(5, distrustStale = true, slot, now).map { it.holder })
        }

        @Test
        fun `its level is assumed to be zero after a second unanswered request`() {
            repeat(2) { estimates.recordUnanswered(holder, now) }
            assertEquals(emptyList(), estimates.planRequests(5, distrustStale = true, slot, now))
        }
    }
}
