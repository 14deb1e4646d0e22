package org.nutmegspring.limits

import org.junit.jupiter.api.Nested
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.time.agesWithoutSuspension
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ColdFleetSpec {
    private val policy = ColdPolicy(coldTime = 3.seconds, requestsPerSecond = 9.1, overage = 1.5, slack = 5.0)

    /** Requests arrive at one cold endpoint that all instances want: none for a while, and then always. */
    private class Fleet(private val instances: Int, private val rate: Double, seed: Int) {
        private val random = Random(seed)
        private val limits = MutableList(instances) { SharedRateLimit() }
        private val clockErrors = List(instances) { CLOCK_ERROR * (2 * random.nextDouble() - 1) }

        fun play(restarts: Boolean = false, changeMembers: Boolean = false): List<Duration> {
            val arrivals = mutableListOf<Duration>()
            var now = START
            while (now < START + PLAYED) {
                if (restarts && random.nextDouble() < STEP / RESTART_INTERVAL) {
                    val index = random.nextInt(instances)
                    limits[index] = SharedRateLimit().apply { discardTurnsBefore(now + clockErrors[index]) }
                }
                val removed = if (changeMembers && instances > 1 && (now - START).inWholeSeconds / 5 % 2 == 1L) 1 else 0
                val isWanted = (now - START).inWholeMilliseconds % BURST_PERIOD.inWholeMilliseconds >= IDLE_MILLISECONDS
                for (rank in 0 until instances - removed) {
                    val share = RateShare(rate, rank, instances - removed)
                    limits[rank].discardTurnsOfOtherOrder(share, now + clockErrors[rank])
                    if (isWanted && limits[rank].tryAcquire(share, now + clockErrors[rank])) {
                        arrivals += now + DELIVERY_SPREAD * random.nextDouble()
                    }
                }
                now += STEP
            }
            return arrivals.sorted()
        }
    }

    private fun greatestCount(arrivals: List<Duration>): Int {
        var first = 0
        return arrivals.indices.maxOf { last ->
            while (arrivals[last] - arrivals[first] > 1.seconds) first++
            last - first + 1
        }
    }

    private fun findGreatest(rate: Double, restarts: Boolean = false, changeMembers: Boolean = false): Int =
        listOf(1, 3, 9, 60, 72).maxOf { instances ->
            (1..SEEDS).maxOf { greatestCount(Fleet(instances, rate, it).play(restarts, changeMembers)) }
        }

    @Nested
    inner class `when all instances want a cold endpoint` {
        @Test
        fun `no second has more requests than the rule allows`() {
            val greatest = findGreatest(policy.sharedRate)
            assertTrue(greatest <= policy.greatestCount, "$greatest requests in a second")
        }

        @Test
        fun `nor while instances restart and forget their turns`() {
            val greatest = findGreatest(policy.sharedRate, restarts = true)
            assertTrue(greatest <= policy.greatestCount, "$greatest requests in a second")
        }

        @Test
        fun `nor while an instance comes and goes`() {
            val greatest = findGreatest(policy.sharedRate, changeMembers = true)
            assertTrue(greatest <= policy.greatestCount, "$greatest requests in a second")
        }

        @Test
        fun `the rate that the endpoint sustains would break the rule`() {
            val greatest = findGreatest(policy.requestsPerSecond)
            assertTrue(greatest > policy.greatestCount, "$greatest requests in a second")
        }

        @Test
        fun `other rates, overages and slacks hold as well`() {
            val broken = listOf(0.5, 2.0, 30.0).flatMap { rate ->
                listOf(1.0 to 0.0, 1.0 to 3.0, 2.0 to 10.0).map { (overage, slack) ->
                    policy.copy(requestsPerSecond = rate, overage = overage, slack = slack)
                }
            }.filter { it.sharedRate > 0 }.mapNotNull { other ->
                val greatest = greatestCount(Fleet(9, other.sharedRate, seed = 1).play())
                "$other: $greatest".takeIf { greatest > other.greatestCount }
            }
            assertEquals(emptyList(), broken)
        }
    }

    @Nested
    inner class `when hardly any request is allowed` {
        @Test
        fun `a rate whose turns could not keep the rule is zero`() {
            assertEquals(0.0, policy.copy(requestsPerSecond = 1.0, overage = 1.5, slack = 0.0).sharedRate)
        }
    }

    @Nested
    inner class `when an instance cannot know that an endpoint has turned cold` {
        private val knowledge = EndpointKnowledge()

        private var now = MonotonicTime.ZERO + 1.days

        private fun isSufficient() = knowledge.isSufficient(now, now.agesWithoutSuspension())

        private fun recordActivity(evidenceAge: Duration?, isAlone: Boolean) =
            knowledge.recordActivity(evidenceAge, isAlone, now, now.agesWithoutSuspension())

        private fun run(duration: Duration, evidenceAge: Duration?, isAlone: Boolean) {
            val end = now + duration
            while (now < end) {
                now += 100.milliseconds
                recordActivity(evidenceAge, isAlone)
            }
        }

        @Test
        fun `a suspension counts until a call for endpoints that began later is answered`() {
            run(1.seconds, evidenceAge = 500.milliseconds, isAlone = false)
            assertTrue(isSufficient())
            now += 5.seconds
            assertTrue(!isSufficient(), "before the first task after the suspension")
            recordActivity(5.seconds, isAlone = false)
            assertTrue(!isSufficient(), "the evidence is from before the suspension")
            now += 300.milliseconds
            recordActivity(200.milliseconds, isAlone = false)
            assertTrue(isSufficient())
        }

        @Test
        fun `an outage of the store alone does not limit the fleet, being cut off does`() {
            run(1.seconds, evidenceAge = 20.seconds, isAlone = false)
            assertTrue(isSufficient())
            run(1.seconds, evidenceAge = 20.seconds, isAlone = true)
            assertTrue(!isSufficient())
            run(1.seconds, evidenceAge = 500.milliseconds, isAlone = true)
            assertTrue(isSufficient())
        }
    }

    private companion object {
        val START = 20_000.days
        val STEP = 5.milliseconds
        val PLAYED = 40.seconds
        const val SEEDS = 10
        val BURST_PERIOD = 6.seconds
        const val IDLE_MILLISECONDS = 3_000
        val RESTART_INTERVAL = 2.seconds
        val CLOCK_ERROR = 50.milliseconds
        val DELIVERY_SPREAD = 400.milliseconds
    }
}
