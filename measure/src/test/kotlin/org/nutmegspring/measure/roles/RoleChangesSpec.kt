package org.nutmegspring.measure.roles

import org.junit.jupiter.api.Nested
import org.nutmegspring.measure.routing.Office
import org.nutmegspring.measure.routing.RoutingRun
import org.nutmegspring.measure.routing.RoutingRunResult
import org.nutmegspring.measure.routing.RoutingRunSetting
import org.nutmegspring.measure.routing.TrafficSetting
import org.nutmegspring.roles.RoleCounts
import org.nutmegspring.roles.RoleDemand
import org.nutmegspring.routing.RoutingPolicy
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class RoleChangesSpec {
    private class SwitchingControl(override val initial: RoleCounts, private val next: RoleCounts) : CountingControl() {
        val seen = ArrayList<RoleCounts>()

        override fun step(demand: RoleDemand, current: RoleCounts, changing: Int, time: MonotonicTime): RoleCounts {
            seen += current
            return if (changing == 0) next else current
        }
    }

    private fun run(control: RoleControl): RoutingRunResult {
        val traffic = TrafficSetting(2.0 * Office.BRITTANY.engines, sharedPrefixes = true)
        val policy = RoutingPolicy.ExpectedDelay()
        val setting = RoutingRunSetting(Office.BRITTANY, policy, traffic, 31, length = 60.seconds, warmUp = 10.seconds)
        return RoutingRun(setting, control).run()
    }

    @Nested
    inner class `given a change of two engines under light load` {
        @Test
        fun `it is carried out once and nearly all requests stay in time`() {
            val control = SwitchingControl(RoleCounts(0, 0, 12), RoleCounts(1, 1, 10))
            val result = run(control)
            assertEquals(2, control.changes)
            assertEquals(RoleCounts(1, 1, 10), control.seen.last())
            assertTrue(result.goodput >= 0.97 * result.offered, result.toString())
        }
    }

    @Nested
    inner class `given separate engines only` {
        @Test
        fun `requests run through both`() {
            val result = run(FixedControl(RoleCounts(6, 6, 0)))
            assertTrue(result.goodput >= 0.97 * result.offered, result.toString())
        }
    }
}
