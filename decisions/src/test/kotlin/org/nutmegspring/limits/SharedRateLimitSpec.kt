package org.nutmegspring.limits

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SharedRateLimitSpec {
    /** The requests that an endpoint gets from instances that all have work for it at any time. */
    private class Fleet(
        private val instances: Int,
        private val limit: Double,
        seed: Int,
        private val arrivalsPerSecond: Double = 100.0,
        private val changeMembers: Boolean = false,
        private val restarts: Boolean = false,
    ) {
        private val random = Random(seed)
        private val limits = MutableList(instances) { SharedRateLimit() }
        private val clockErrors = List(instances) { CLOCK_ERROR * (2 * random.nextDouble() - 1) }

        fun play(duration: Duration): List<Duration> {
            val sent = mutableListOf<Duration>()
            var now = START
            while (now < START + duration) {
                val removed = if (changeMembers && (now - START).inWholeSeconds / 5 % 2 == 1L) 1 else 0
                if (restarts && random.nextDouble() < STEP / RESTART_INTERVAL) {
                    limits[random.nextInt(instances)] = SharedRateLimit()
                }
                for (rank in 0 until instances - removed) {
                    if (random.nextDouble() > arrivalsPerSecond * STEP.inWholeMilliseconds / 1000) continue
                    val share = RateShare(limit, rank, instances - removed)
                    if (limits[rank].tryAcquire(share, now + clockErrors[rank])) sent += now
                }
                now += STEP
            }
            return sent
        }
    }

    private fun greatestCount(sent: List<Duration>): Int {
        var first = 0
        return sent.indices.maxOfOrNull { last ->
            while (sent[last] - sent[first] > WINDOW) first++
            last - first + 1
        } ?: 0
    }

    private fun findBroken(
        instances: Int,
        changeMembers: Boolean = false,
        restarts: Boolean = false,
    ): List<String> =
        listOf(0.4, 1.0, 2.8, 3.2, 5.5, 20.0).flatMap { limit ->
            (1..SEEDS).mapNotNull { seed ->
                val sent = Fleet(
                    instances,
                    limit,
                    seed,
                    changeMembers = changeMembers,
                    restarts = restarts,
                ).play(PLAYED)
                val greatest = greatestCount(sent)
                val allowed = (ALLOWED_RATIO * limit * WINDOW.inWholeSeconds + ALLOWED_EXTRA).toInt()
                "limit $limit, seed $seed: $greatest where $allowed are allowed".takeIf { greatest > allowed }
            }
        }

    @Nested
    inner class `when an endpoint names a limit for all instances` {
        @Test
        fun `9 instances together stay below one and a half times the limit`() {
            assertEquals(emptyList(), findBroken(9))
        }

        @Test
        fun `64 instances together stay below one and a half times the limit`() {
            assertEquals(emptyList(), findBroken(64))
        }

        @Test
        fun `they stay below it while an instance comes and goes`() {
            assertEquals(emptyList(), findBroken(9, changeMembers = true) + findBroken(64, changeMembers = true))
        }

        @Test
        fun `they stay below it while instances restart and forget the turns that they used`() {
            assertEquals(emptyList(), findBroken(9, restarts = true) + findBroken(64, restarts = true))
        }

        @Test
        fun `most of the limit is used while all instances have work for it`() {
            for (instances in listOf(1, 9, 64)) {
                val sent = Fleet(instances, 3.2, seed = 1).play(PLAYED)
                assertTrue(
                    sent.size > USED_SHARE * 3.2 * PLAYED.inWholeSeconds,
                    "$instances instances sent ${sent.size}",
                )
            }
        }
    }

    @Nested
    inner class `when no turn is open` {
        @Test
        fun `the time until the next one is told`() {
            val limit = SharedRateLimit()
            val share = RateShare(1.0, rank = 0, instances = 4)
            var now = START
            while (!limit.tryAcquire(share, now)) now += limit.timeUntilTurn(share, now)
            val wait = limit.timeUntilTurn(share, now)
            assertTrue(wait > 1.seconds && wait <= 4.seconds, "$wait")
            assertTrue(limit.tryAcquire(share, now + wait))
        }
    }

    private companion object {
        val START = 20_000.days
        val STEP = 5.milliseconds
        val PLAYED = 60.seconds
        const val SEEDS = 10
        val RESTART_INTERVAL = 2.seconds
        val CLOCK_ERROR = 50.milliseconds
        const val USED_SHARE = 0.8

        /** What the rule on named limits allows. */
        val WINDOW = 4.seconds
        const val ALLOWED_RATIO = 1.5
        const val ALLOWED_EXTRA = 5
    }
}
