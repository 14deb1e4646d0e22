package org.nutmegspring.lease

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DutyPlacementSpec {
    private val instances = List(9) { InstanceId("i$it") }.toSet()
    private val duties = List(64) { Duty.UsageWindows(it) }

    private fun preferred(duty: Duty, among: Set<InstanceId>): InstanceId =
        among.single { DutyPlacement.wish(duty, it, among) == LeaseWish.HOLD }

    @Nested
    inner class `given nine instances` {
        @Test
        fun `prefers one for each duty and has two stand by`() {
            for (duty in duties) {
                val wishes = instances.map { DutyPlacement.wish(duty, it, instances) }
                assertEquals(1, wishes.count { it == LeaseWish.HOLD })
                assertEquals(2, wishes.count { it == LeaseWish.STAND_BY })
            }
        }

        @Test
        fun `moves only the duties of an instance that left`() {
            val left = instances.first()
            val moved = duties.filter { preferred(it, instances) != preferred(it, instances - left) }
            assertTrue(moved.isNotEmpty())
            assertTrue(moved.all { preferred(it, instances) == left })
        }
    }
}
