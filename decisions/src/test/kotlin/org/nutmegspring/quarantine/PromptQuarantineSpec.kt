package org.nutmegspring.quarantine

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class PromptQuarantineSpec {
    private val quarantine = PromptQuarantine(MonotonicTime.ZERO) { SETTLE_TIME }
    private val shared = PromptPartId(1)
    private val crashing = PromptPartId(2)
    private var now = MonotonicTime.ZERO
    private var lifetimes = 0L

    private fun advance(duration: Duration) {
        now += duration
    }

    private fun crash(parts: List<PromptPartId>) {
        quarantine.recordCrash(parts, EngineLifetime(++lifetimes), now)
        advance(100.milliseconds)
    }

    private fun update(): List<QuarantineChange> = quarantine.update(now)

    @Nested
    inner class `when engines crash under one part` {
        @Test
        fun `the part is quarantined after the third crash, once reports have had time to arrive`() {
            repeat(3) { crash(listOf(crashing)) }
            assertTrue(update().none { it is QuarantineChange.Quarantined })
            advance(SETTLE_TIME)
            assertEquals(listOf(crashing), update().filterIsInstance<QuarantineChange.Quarantined>().map { it.part })
            assertEquals(crashing, quarantine.refuse(listOf(shared, crashing), now))
        }

        @Test
        fun `several requests that break off in one crash count once`() {
            repeat(3) { quarantine.recordCrash(listOf(crashing), EngineLifetime(7), now) }
            advance(1.minutes)
            update()
            assertNull(quarantine.refuse(listOf(crashing), now))
        }

        @Test
        fun `a part that shares the requests but is completed elsewhere is served on`() {
            repeat(4) {
                crash(listOf(shared, crashing))
                quarantine.recordCompletion(listOf(shared), now)
            }
            advance(SETTLE_TIME)
            update()
            assertNull(quarantine.refuse(listOf(shared), now))
            assertEquals(crashing, quarantine.refuse(listOf(shared, crashing), now))
        }

        @Test
        fun `the part that was never completed is blamed before one that was, when no engine is left`() {
            quarantine.recordCompletion(listOf(shared), now)
            advance(1.seconds)
            repeat(5) { crash(listOf(shared, crashing)) }
            advance(SETTLE_TIME)
            update()
            assertEquals(setOf(crashing), quarantine.quarantinedParts)
        }
    }

    @Nested
    inner class `when a part is quarantined` {
        private fun quarantineCrashing() {
            repeat(3) { crash(listOf(crashing)) }
            advance(SETTLE_TIME)
            update()
        }

        @Test
        fun `it stays so for as long as requests with it come`() {
            quarantineCrashing()
            repeat(30) {
                advance(1.minutes)
                update()
                assertEquals(crashing, quarantine.refuse(listOf(crashing), now))
            }
        }

        @Test
        fun `it is served again after minutes without such a request`() {
            quarantineCrashing()
            advance(11.minutes)
            assertEquals(
                listOf(LiftReason.EXPIRED),
                update().filterIsInstance<QuarantineChange.Lifted>().map {
                    it.reason
                },
            )
            assertNull(quarantine.refuse(listOf(crashing), now))
        }

        @Test
        fun `an answer that is completed later clears it at all instances`() {
            quarantineCrashing()
            val other = PromptQuarantine(MonotonicTime.ZERO) { SETTLE_TIME }
            quarantine.nextReports(4, now).forEach { other.applyReport(it, now) }
            assertEquals(setOf(crashing), other.quarantinedParts)
            assertEquals(listOf(crashing), other.update(now).map { it.part })
            quarantine.recordCompletion(listOf(crashing), now)
            update()
            quarantine.nextReports(4, now).forEach { other.applyReport(it, now) }
            other.update(now)
            assertEquals(emptySet(), quarantine.quarantinedParts + other.quarantinedParts)
        }
    }

    @Nested
    inner class `when a request breaks off with its engine` {
        @Test
        fun `it is retried at once if all its parts have been completed lately`() {
            quarantine.recordCompletion(listOf(shared), now)
            crash(listOf(shared))
            assertEquals(RetryDecision.RETRY, quarantine.decideRetry(listOf(shared), now))
        }

        @Test
        fun `it waits while two engines have crashed under a part without a completion since`() {
            repeat(2) { crash(listOf(crashing)) }
            assertEquals(RetryDecision.WAIT, quarantine.decideRetry(listOf(crashing), now))
            quarantine.recordCompletion(listOf(crashing), now)
            assertEquals(RetryDecision.RETRY, quarantine.decideRetry(listOf(crashing), now))
        }
    }

    @Nested
    inner class `given a fleet beside ordinary crashes, lost reports and restarts` {
        private val small = FleetSettings(9, 13, 100.milliseconds, reportedParts = 8)
        private val large =
            FleetSettings(64, 60, 1.seconds, reportedParts = 2, soundInterval = 3.milliseconds)

        private fun countFurther(fleet: QuarantineFleet): Int {
            val fifth = fleet.crashes.getOrNull(EXCUSED_CRASHES - 1) ?: return 0
            return fleet.dispatches.count { it > fifth + CONTACT_TIME }
        }

        private fun findBroken(settings: FleetSettings): List<String> = (1..SEEDS).mapNotNull { seed ->
            val fleet = QuarantineFleet(seed, settings)
            fleet.play(PLAYED)
            val further = countFurther(fleet)
            "seed $seed: $further further requests".takeIf { further > MAXIMUM_FURTHER }
        }

        private fun findWrong(settings: FleetSettings): List<String> = (1..SEEDS).mapNotNull { seed ->
            val fleet = QuarantineFleet(seed, settings)
            fleet.play(PLAYED)
            val wrong = fleet.quarantinedParts().flatten().toSet() - QuarantineFleet.CRASHING_PART
            "seed $seed: $wrong, ${fleet.wrongRefusals.size} refusals".takeIf { wrong.isNotEmpty() }
        }

        @Test
        fun `at most three requests reach engines after the fifth crash and the contact time, at 9 instances`() {
            assertEquals(emptyList(), findBroken(small))
        }

        @Test
        fun `at most three requests reach engines after the fifth crash and the contact time, at 64 instances`() {
            assertEquals(emptyList(), findBroken(large))
        }

        @Test
        fun `no sound part is quarantined beside the crashing one`() {
            assertEquals(emptyList(), findWrong(small))
            assertEquals(emptyList(), findWrong(large))
        }

        @Test
        fun `no sound part is quarantined when engines crash by themselves`() {
            val storm = small.copy(crashingStart = 1.minutes, ordinaryCrashInterval = 500.milliseconds)
            assertEquals(emptyList(), findWrong(storm))
        }
    }

    private companion object {
        val SETTLE_TIME = 300.milliseconds
        const val SEEDS = 50
        val PLAYED = 30.seconds

        /** What the rule on crashing prompt parts allows. */
        const val EXCUSED_CRASHES = 5
        const val MAXIMUM_FURTHER = 3
        val CONTACT_TIME = 3.seconds
    }
}
