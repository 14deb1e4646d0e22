package org.nutmegspring.placement

import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/**
 * Replays prompts at engines of 0.6, 1.0 and 1.6 times the nominal speed, of which 15 in 100 are slowed down by 2.5
 * times for 600 ms at a time.
 *
 * Guards against prompts that are late because slow engines get as many as fast ones.
 */
class UnevenEnginesSpec {
    private fun at(milliseconds: Double) = MonotonicTime((milliseconds * NANOSECONDS_PER_MILLISECOND).toLong())

    private class Engine(val id: EndpointId, val speed: Double) {
        val estimate = SpeedEstimate()
        var slowUntil = 0.0
        var freeAt = 0.0
        val work = ArrayDeque<Pair<Double, Int>>()

        fun noise(now: Double) = if (now < slowUntil) NOISE else 1.0
    }

    /** Returns the share of prompts that are prefilled within [OBJECTIVE], placed with or without the estimates. */
    private fun replay(seed: Int, usesEstimates: Boolean): Double {
        val random = Random(seed)
        val engines = List(ENGINES) { Engine(EndpointId("e$it"), SPEEDS[it % SPEEDS.size]) }
        val placement = EnginePlacement(random = Random(seed + 1))
        var now = 0.0
        var onTime = 0
        repeat(PROMPTS) {
            now += -kotlin.math.ln(1 - random.nextDouble()) * MEAN_PAUSE
            engines.forEach {
                if (random.nextInt(NOISE_CHANCE) == 0 &&
                    now >= it.slowUntil
                ) {
                    it.slowUntil = now + NOISE_TIME
                }
            }
            val tokens = random.nextInt(2_000, 9_000)
            val candidates = engines.map { engine ->
                while (engine.work.isNotEmpty() && engine.work.first().first <= now) engine.work.removeFirst()
                val slowdown = if (usesEstimates) engine.estimate.slowdown(at(now)) ?: 1.0 else 1.0
                val queued = engine.work.sumOf { it.second }.toLong()
                EngineCandidate(engine.id, EngineRole.MIXED, HERE, queued, 0, engine.work.size, 64, slowdown)
            }
            val plan = checkNotNull(placement.plan(PlacementRequest(tokens, 0, 0), candidates, HERE))
            val engine = engines.first { it.id == plan.prefillEngine.id }
            val nominal = (plan.prefillEngine.queuedTokens + tokens) / NOMINAL_SPEED
            val start = maxOf(now, engine.freeAt)
            val duration = tokens / (NOMINAL_SPEED * engine.speed) * engine.noise(start)
            engine.freeAt = start + duration
            engine.work.addLast(engine.freeAt to tokens)
            if (engine.freeAt - now <= OBJECTIVE) onTime++
            engine.estimate.recordTold(engine.noise(now), at(now))
            engine.estimate.recordPrefill(nominal.milliseconds, (engine.freeAt - now).milliseconds, at(now))
        }
        return onTime.toDouble() / PROMPTS
    }

    @Nested
    inner class `given engines of different speeds on shared machines` {
        @Test
        fun `more prompts are on time with estimated speeds than with one constant`() {
            val seeds = 1..10
            val constant = seeds.map { replay(it, usesEstimates = false) }.average()
            val estimated = seeds.map { replay(it, usesEstimates = true) }.average()
            println("prompts on time: %.3f with one constant speed, %.3f with estimates".format(constant, estimated))
            assertTrue(estimated > constant, "$estimated against $constant")
        }
    }

    @Nested
    inner class `given one engine` {
        private val estimate = SpeedEstimate()
        private val now = at(1_000.0)

        @Test
        fun `an engine that tells nothing has no estimate`() {
            estimate.recordPrefill(100.milliseconds, 50.milliseconds, now)
            assertNull(estimate.slowdown(now))
        }

        @Test
        fun `what it told is used for a short time only`() {
            estimate.recordTold(2.5, now)
            assertEquals(2.5, estimate.slowdown(now + 100.milliseconds))
            assertEquals(1.0, estimate.slowdown(now + 1_000.milliseconds))
        }

        @Test
        fun `a slowdown that it told does not change the lasting speed`() {
            repeat(50) {
                estimate.recordTold(2.5, now)
                estimate.recordPrefill(100.milliseconds, 250.milliseconds, now)
            }
            assertEquals(1.0, estimate.lastingFactor, 0.001)
        }

        @Test
        fun `an endpoint that tells a false load is not believed for longer than its figure lasts`() {
            estimate.recordTold(1_000.0, now)
            assertTrue(checkNotNull(estimate.slowdown(now)) <= 8.0)
            assertEquals(1.0, estimate.slowdown(now + 300.milliseconds))
        }

        @Test
        fun `what others observed counts until there are own observations, and a new process forgets both`() {
            estimate.recordTold(1.0, now)
            estimate.adoptPeerFactor(1.6)
            assertEquals(1.6, estimate.slowdown(now))
            repeat(20) { estimate.recordPrefill(100.milliseconds, 60.milliseconds, now) }
            assertEquals(0.6, checkNotNull(estimate.slowdown(now)), 0.05)
            estimate.reset()
            assertNull(estimate.slowdown(now))
            assertEquals(1.0, estimate.lastingFactor)
        }
    }

    private companion object {
        val HERE = DataCentreId("rennes")
        val SPEEDS = listOf(0.6, 1.0, 1.6)
        const val ENGINES = 12
        const val PROMPTS = 4_000
        const val NOMINAL_SPEED = 60.0
        const val MEAN_PAUSE = 9.0
        const val OBJECTIVE = 400.0
        const val NOISE = 2.5
        const val NOISE_TIME = 600.0

        /** An engine is slowed down for about 15 in 100 of the time. */
        const val NOISE_CHANCE = 283
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000
    }
}
