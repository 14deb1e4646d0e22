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
    private val estimates = HolderEstimates(LimitSettings(), InstanceId("self")).also { it.assign(mapOf(holder to 1)) }

    @Nested
    inner class `given a holder that does not answer` {
        @Test
        fun `it is asked once more`() {
            estimates.unreachable(holder, now)
            assertEquals(listOf(holder), estimates.plan(5, doubt = true, slot, now).map { it.holder })
        }

        @Test
        fun `it counts as having nothing when it does not answer again`() {
            repeat(2) { estimates.unreachable(holder, now) }
            assertEquals(emptyList(), estimates.plan(5, doubt = true, slot, now))
        }
    }
}
