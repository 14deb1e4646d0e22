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
        among.single { DutyPlacement.desiredRole(duty, it, among) == LeaseRole.HOLD }

    @Nested
    inner class `given nine instances` {
        @Test
        fun `assigns one holder and two standbys to each duty`() {
            for (duty in duties) {
                val roles = instances.map { DutyPlacement.desiredRole(duty, it, instances) }
                assertEquals(1, roles.count { it == LeaseRole.HOLD })
                assertEquals(2, roles.count { it == LeaseRole.STAND_BY })
            }
        }

        @Test
        fun `reassigns only the duties of an instance that left`() {
            val left = instances.first()
            val moved = duties.filter { preferred(it, instances) != preferred(it, instances - left) }
            assertTrue(moved.isNotEmpty())
            assertTrue(moved.all { preferred(it, instances) == left })
        }
    }
}
