package org.nutmegspring.quota

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SharedQuotaSpec {
    private val window = 8.seconds
    private val rate = QuotaRate(unitsPerSecond = 100_000.0, burst = 100_000.0)
    private val limit = 900_000L
    private val ids = List(9) { InstanceId("instance-$it") }

    private fun at(milliseconds: Int) = MonotonicTime.ZERO + milliseconds.milliseconds

    private fun report(instance: InstanceId, units: Long?, time: Int, interval: Int) = PeerCharges(
        instance = instance,
        incarnation = Incarnation(1),
        chargedUnits = units,
        runningFor = time.milliseconds,
        reportInterval = interval.milliseconds,
        expiresAt = at(time + maxOf(1500, 4 * interval)),
    )

    /** Instances that exchange reports every [interval] ms. [isDelivered] decides by receiver, sender and time. */
    private inner class Fleet(
        private val ids: List<InstanceId> = this@SharedQuotaSpec.ids,
        private val interval: Int = 100,
        private val isDelivered: (Int, Int, Int) -> Boolean = { _, _, _ -> true },
    ) {
        private val startedAt = IntArray(ids.size)
        private val downUntil = IntArray(ids.size)
        val quotas = ids.map { SharedQuota(rate, window, at(0)) }.toMutableList()
        val admitted = mutableListOf<Pair<Int, Long>>()
        var refused = 0

        /** Ends all processes at [time] and starts others, which know nothing; [isAware] that they do not know. */
        fun restartAll(time: Int, isAware: Boolean) = ids.indices.forEach {
            quotas[it] = SharedQuota(rate, window, at(time), at(time).takeIf { isAware })
            startedAt[it] = time
        }

        /** Ends the processes of [instances] at [time] and starts others [downTime] ms later, which know nothing. */
        fun restart(instances: Collection<Int>, time: Int, downTime: Int) = instances.forEach {
            startedAt[it] = time + downTime
            downUntil[it] = time + downTime
            quotas[it] = SharedQuota(rate, window, at(startedAt[it]), at(startedAt[it]))
        }

        private fun isUp(instance: Int, time: Int) = time >= downUntil[instance]

        fun run(milliseconds: Int, unitsPerSecond: Long, units: Long = 5_000, onTime: (Int) -> Unit = {}) =
            run(milliseconds, { unitsPerSecond }, units, onTime)

        fun run(milliseconds: Int, unitsPerSecond: (Int) -> Long, units: Long = 5_000, onTime: (Int) -> Unit = {}) {
            var pendingUnits = 0.0
            var next = 0
            for (time in 0 until milliseconds) {
                onTime(time)
                exchange(time)
                pendingUnits += unitsPerSecond(time) / 1000.0
                while (pendingUnits >= units) {
                    pendingUnits -= units
                    do next++ while (!isUp(next % ids.size, time))
                    charge(next % ids.size, units, time)
                }
            }
        }

        private fun charge(instance: Int, units: Long, time: Int) {
            when (quotas[instance].charge(units, at(time))) {
                QuotaDecision.Admitted -> admitted += time to units
                is QuotaDecision.Exceeded -> refused++
            }
        }

        private fun exchange(time: Int) {
            val senders = ids.indices.filter { (time + it * REPORT_OFFSET) % interval == 0 && isUp(it, time) }
            for (receiver in ids.indices.filter { isUp(it, time) }) {
                for (sender in senders.filter { it != receiver && isDelivered(receiver, it, time) }) {
                    val charges = report(ids[sender], quotas[sender].chargedUnits, time, interval).copy(
                        incarnation = Incarnation(startedAt[sender].toLong()),
                        runningFor = (time - startedAt[sender]).milliseconds,
                    )
                    quotas[receiver].recordPeerCharges(charges, at(time))
                    shareHistory(quotas[sender], quotas[receiver], at(time))
                }
                if (time % 100 == 0) quotas[receiver].updateMembers(ids - ids[receiver], at(time))
            }
        }

        private fun shareHistory(sender: SharedQuota, receiver: SharedQuota, now: MonotonicTime) {
            val coverage = sender.coverage(now)
            if (receiver.needsHistory(coverage, now)) receiver.adoptHistory(coverage, sender.history(now), now)
        }

        fun maximumInWindow(): Long = admitted.maxOf { (begin, _) ->
            admitted.filter { it.first in begin until begin + 8000 }.sumOf { it.second }
        }
    }

    @Nested
    inner class `while one organisation sends six times its rate through all instances` {
        @Test
        fun `the fleet stays within a tenth of the quota in any window`() {
            val fleet = Fleet().apply { run(milliseconds = 20_000, unitsPerSecond = 600_000) }
            assertTrue(fleet.maximumInWindow() <= limit * 1.1, "${fleet.maximumInWindow()}")
        }

        @Test
        fun `at least 95 percent of the quota is used`() {
            val fleet = Fleet().apply { run(milliseconds = 20_000, unitsPerSecond = 600_000) }
            assertTrue(fleet.maximumInWindow() >= limit * 0.95, "${fleet.maximumInWindow()}")
        }
    }

    @Nested
    inner class `in a fleet of 74 instances that report to each other every 740 ms` {
        private val large = List(74) { InstanceId("instance-$it") }

        @Test
        fun `an organisation that sends six times its rate stays within a tenth of its quota`() {
            val fleet = Fleet(large, interval = 740).apply { run(milliseconds = 20_000, unitsPerSecond = 600_000) }
            assertTrue(fleet.maximumInWindow() <= limit * 1.1, "${fleet.maximumInWindow()}")
        }

        @Test
        fun `an organisation within its rate has at most one refusal although one report in ten is lost`() {
            val random = Random(3)
            val fleet = Fleet(large, interval = 740) { _, _, _ -> random.nextInt(10) > 0 }
            fleet.run(milliseconds = 20_000, unitsPerSecond = 95_000)
            assertTrue(fleet.refused <= 1, "${fleet.refused} refused")
        }
    }

    @Nested
    inner class `when all processes end in the middle of a window and start again` {
        private fun play(unitsPerSecond: Long, isAware: Boolean): Fleet {
            val fleet = Fleet()
            fleet.run(24_000, unitsPerSecond) { if (it == 12_000) fleet.restartAll(it, isAware) }
            return fleet
        }

        @Test
        fun `six times the rate passes the quota by at most two thirds of what it would otherwise`() {
            val (aware, unaware) = listOf(true, false).map { play(600_000, it).maximumInWindow() - limit }
            assertTrue(aware * 3 <= unaware * 2, "$aware beyond the quota of $limit, $unaware otherwise")
        }

        @Test
        fun `an organisation at seven tenths of its rate is hardly refused`() {
            val fleet = play(70_000, isAware = true)
            assertTrue(fleet.refused <= 20, "${fleet.refused} of ${fleet.refused + fleet.admitted.size}")
        }
    }

    // Guards against QUOTA: processes that started after a kill did not know what the fleet had charged in the window.
    @Nested
    inner class `when some processes end in the middle of a window and others start in their place` {
        /** Plays 30 s, of which the organisation sends half of its rate in the first 12 s. */
        private fun play(instances: Int, share: Double, unitsPerSecond: Long, kills: List<Int>): Fleet {
            val ids = List(instances) { InstanceId("instance-$it") }
            val fleet = Fleet(ids, interval = maxOf(100, 10 * instances))
            val killed = (0 until (instances * share).toInt()).toList()
            val load = { time: Int -> if (time < SURGE_AT) 50_000L else unitsPerSecond }
            fleet.run(30_000, load) { if (it in kills) fleet.restart(killed, it, DOWN_TIME) }
            return fleet
        }

        private fun assertWithinQuota(instances: Int, share: Double, kills: List<Int>) {
            val used = play(instances, share, unitsPerSecond = 600_000, kills).maximumInWindow()
            assertTrue(used <= limit * 1.1, "$instances instances, $share killed at $kills: $used of $limit")
        }

        @Test
        fun `a surge to six times the rate stays within a tenth of the quota in a small fleet`() {
            for (instances in listOf(6, 9)) {
                for (share in listOf(0.35, 0.55)) {
                    for (kill in listOf(13_000, 15_000)) assertWithinQuota(instances, share, listOf(kill))
                }
            }
        }

        @Test
        fun `a surge to six times the rate stays within a tenth of the quota in a fleet of 30`() {
            for (share in listOf(0.3, 0.55)) assertWithinQuota(30, share, listOf(15_000))
        }

        @Test
        fun `a surge to six times the rate stays within a tenth of the quota through three kills`() {
            for (instances in listOf(6, 30)) assertWithinQuota(instances, 0.55, listOf(13_000, 16_000, 19_000))
        }

        @Test
        fun `an organisation at seven tenths of its rate is hardly refused`() {
            for (instances in listOf(6, 30)) {
                val fleet = play(instances, 0.35, unitsPerSecond = 70_000, listOf(15_000))
                assertTrue(fleet.refused <= 20, "$instances instances: ${fleet.refused} refused")
            }
        }
    }

    @Nested
    inner class `while an organisation stays within its rate` {
        @Test
        fun `nothing is refused`() {
            val fleet = Fleet().apply { run(milliseconds = 20_000, unitsPerSecond = 100_000) }
            assertEquals(0, fleet.refused)
        }
    }

    @Nested
    inner class `when a partition splits the instances into two groups` {
        @Test
        fun `both groups together stay within a tenth of the quota`() {
            val fleet = Fleet { receiver, sender, time -> time < 5_000 || (receiver < 3) == (sender < 3) }
            fleet.run(milliseconds = 20_000, unitsPerSecond = 600_000)
            assertTrue(fleet.maximumInWindow() <= limit * 1.1, "${fleet.maximumInWindow()}")
        }
    }

    @Nested
    inner class `when the rate is lowered` {
        private val lower = QuotaRate(unitsPerSecond = 10_000.0, burst = 10_000.0)

        @Test
        fun `what was charged before does not count against the lower rate`() {
            val quota = SharedQuota(rate, window, at(0))
            repeat(100) { quota.charge(5_000, at(0)) }
            quota.resize(lower, at(100))
            assertIs<QuotaDecision.Admitted>(quota.charge(5_000, at(200)))
        }

        // Guards against QUOTA: a quota that was lowered a little admitted nearly twice its units in one window.
        @Test
        fun `at most the higher quota is admitted in a window that began before`() {
            val quota = SharedQuota(rate, window, at(0))
            repeat(100) { quota.charge(5_000, at(0)) }
            quota.resize(QuotaRate(unitsPerSecond = 90_000.0, burst = 90_000.0), at(100))
            val admitted = (0 until 1000).count { quota.charge(5_000, at(200)) == QuotaDecision.Admitted }
            assertEquals(80, admitted)
        }

        @Test
        fun `quotas that are lowered in quick succession admit no more than the first`() {
            val quota = SharedQuota(rate, window, at(0))
            var admitted = 0
            for (step in 0 until 10) {
                val lowered = 100_000.0 - step * 1_000
                quota.resize(QuotaRate(lowered, lowered), at(step * 200))
                admitted += (0 until 1000).count { quota.charge(5_000, at(step * 200 + 100)) == QuotaDecision.Admitted }
            }
            assertEquals(180, admitted)
        }

        @Test
        fun `a quota that is raised again admits what it allows in the window`() {
            val quota = SharedQuota(rate, window, at(0))
            repeat(100) { quota.charge(5_000, at(0)) }
            quota.resize(lower, at(100))
            quota.resize(QuotaRate(unitsPerSecond = 200_000.0, burst = 200_000.0), at(200))
            val admitted = (0 until 1000).count { quota.charge(5_000, at(300)) == QuotaDecision.Admitted }
            assertEquals(260, admitted)
        }

        @Test
        fun `at most the lower quota is admitted afterwards`() {
            val quota = SharedQuota(rate, window, at(0))
            quota.resize(lower, at(100))
            val admitted = (0 until 100).count { quota.charge(5_000, at(200)) == QuotaDecision.Admitted }
            assertEquals(18, admitted)
        }
    }

    @Nested
    inner class `after a refusal` {
        @Test
        fun `the request is admitted after the returned delay`() {
            val quota = SharedQuota(rate, window, at(0))
            repeat(180) { quota.charge(5_000, at(it * 10)) }
            val decision = assertIs<QuotaDecision.Exceeded>(quota.charge(5_000, at(2_000)))
            val later = at(2_000) + decision.retryAfter
            assertIs<QuotaDecision.Admitted>(quota.charge(5_000, later))
        }
    }

    @Nested
    inner class `when an instance starts while the others have long been running` {
        private val others = ids.drop(1)

        /** Reports what each of the others has charged when all together use 90% of the rate. */
        private fun SharedQuota.receiveReports(time: Int) {
            others.forEach { recordPeerCharges(report(it, 10_000L * time / 1000, time, interval = 100), at(time)) }
            updateMembers(others, at(time))
        }

        @Test
        fun `what they charged before the window does not use up the quota`() {
            val quota = SharedQuota(rate, window, at(60_000))
            for (time in 60_000 until 61_000 step 100) quota.receiveReports(time)
            assertIs<QuotaDecision.Admitted>(quota.charge(5_000, at(61_000)))
        }

        @Test
        fun `it stays within the quota together with them`() {
            val quota = SharedQuota(rate, window, at(60_000))
            for (time in 60_000 until 61_000 step 100) quota.receiveReports(time)
            val admitted = (0 until 1000).count { quota.charge(5_000, at(61_000)) == QuotaDecision.Admitted }
            assertTrue(admitted * 5_000 <= limit - 8 * 10_000 * others.size, "$admitted admitted")
        }
    }

    @Nested
    inner class `when a charged request does not run` {
        private val quota = SharedQuota(rate, window, at(0))

        private fun countAdmitted(time: Int) =
            (0 until 1000).count { quota.charge(5_000, at(time)) == QuotaDecision.Admitted }

        @Test
        fun `units that were not reported are not told to the others`() {
            quota.charge(5_000, at(0))
            quota.reportChargedUnits(at(10))
            quota.charge(7_000, at(100))
            quota.refund(7_000, at(100), at(100))
            assertEquals(5_000, quota.reportChargedUnits(at(110)))
        }

        @Test
        fun `units that were reported are never taken back from the others`() {
            quota.charge(5_000, at(0))
            quota.reportChargedUnits(at(10))
            quota.refund(5_000, at(0), at(100))
            assertEquals(5_000, quota.reportChargedUnits(at(110)))
        }

        @Test
        fun `a refund of reported units does not hide the charge of another request`() {
            quota.charge(5_000, at(0))
            quota.reportChargedUnits(at(10))
            quota.charge(7_000, at(100))
            quota.refund(5_000, at(0), at(200))
            assertEquals(12_000, quota.reportChargedUnits(at(210)))
        }

        @Test
        fun `a refund does not outlast its charge and admit more than the quota`() {
            quota.charge(400_000, at(0))
            quota.refund(400_000, at(0), at(4_000))
            assertEquals(180, countAdmitted(8_500))
        }
    }

    @Nested
    inner class `when a report does not state the charges` {
        @Test
        fun `there were none until a later report states them, and these count in full`() {
            val quota = SharedQuota(rate, window, at(60_000))
            quota.recordPeerCharges(report(ids[1], null, time = 60_000, interval = 100), at(60_000))
            quota.recordPeerCharges(report(ids[1], 450_000, time = 60_100, interval = 100), at(60_100))
            assertEquals(90, (0 until 1000).count { quota.charge(5_000, at(61_200)) == QuotaDecision.Admitted })
        }

        @Test
        fun `they are as reported before`() {
            val quota = SharedQuota(rate, window, at(0))
            quota.recordPeerCharges(report(ids[1], 400_000, time = 0, interval = 100), at(0))
            quota.recordPeerCharges(report(ids[1], null, time = 100, interval = 100), at(100))
            quota.recordPeerCharges(report(ids[1], 450_000, time = 200, interval = 100), at(200))
            assertEquals(90, (0 until 1000).count { quota.charge(5_000, at(1_300)) == QuotaDecision.Admitted })
        }
    }

    @Nested
    inner class `when an instance restarts with a new incarnation` {
        @Test
        fun `its charges are counted from zero`() {
            val quota = SharedQuota(rate, window, at(0))
            quota.recordPeerCharges(
                report(ids[1], 400_000, time = 0, interval = 100).copy(incarnation = Incarnation(1)),
                at(0),
            )
            quota.recordPeerCharges(
                report(ids[1], 450_000, time = 100, interval = 100).copy(incarnation = Incarnation(2)),
                at(100),
            )
            assertEquals(10, (0 until 100).count { quota.charge(5_000, at(1_300)) == QuotaDecision.Admitted })
        }
    }

    private companion object {
        /** The offset between the reports of consecutive instances, in milliseconds. */
        const val REPORT_OFFSET = 10

        /** The time until a killed process has started again, in milliseconds. */
        const val DOWN_TIME = 1_500

        /** When the surge begins, in milliseconds. */
        const val SURGE_AT = 12_000
    }
}
