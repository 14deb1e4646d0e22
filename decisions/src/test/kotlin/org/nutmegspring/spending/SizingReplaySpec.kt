package org.nutmegspring.spending

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import java.util.Locale
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against targets that cost more than the whole range, or that leave demand without capacity. */
class SizingReplaySpec {
    private fun policy(maxEndpoints: Int) = ScalingPolicy(
        minEndpoints = 2,
        maxEndpoints = maxEndpoints,
        startUpTime = 4.seconds,
        interruptiblePriceRatio = 0.22,
        prices = mapOf("rennes" to 0.8, "brest" to 1.0, "quimper" to 1.25).mapKeys { DataCentreId(it.key) },
    )

    private fun kinds(long: Double, middle: Double, short: Double, middleObjective: Double) = listOf(
        PromptKind(13_300, 3_720, long, objective = 627.0, prefixes = 40, swing = 0.6, period = 11.0),
        PromptKind(6_300, 2_890, middle, objective = middleObjective, prefixes = 40),
        PromptKind(350, 1_110, short, objective = 411.0, prefixes = 20, swing = -0.6, period = 13.0),
    )

    private fun compare(day: ReplayedDay, seed: Long): Pair<ReplayResult, ReplayResult> {
        val present = SizingReplay(day, SizingReplay.presentRule(day), seed).run()
        val followed = SizingReplay(day, SizingReplay.demandRule(day), seed).run()
        val oracle = SizingReplay(day, SizingReplay.oracle(day), seed).run()
        listOf("present rule" to present, "demand" to followed, "oracle" to oracle).forEach { (rule, result) ->
            val line = "%s, seed %d, %-12s price %.0f (%.2f), demand above capacity %.1f s, %d orders, " +
                "in time %.4f, refused %d, late %d, prefilled again %d thousand tokens, least endpoints %d"
            println(
                line.format(
                    Locale.ROOT,
                    day.name,
                    seed,
                    rule,
                    result.price,
                    result.price / present.price,
                    result.exceededMilliseconds / 1000.0,
                    result.orders,
                    result.inTimeShare,
                    result.refused,
                    result.late,
                    result.recomputedTokens / 1000,
                    result.leastEndpoints,
                ),
            )
        }
        return present to followed
    }

    private fun assertCheaperWithoutLateness(day: ReplayedDay) = listOf(1L, 2L, 3L).forEach { seed ->
        val (present, followed) = compare(day, seed)
        assertTrue(followed.price < present.price, "price ${followed.price}, present rule ${present.price}")
        assertTrue(
            followed.exceededMilliseconds <= present.exceededMilliseconds,
            "demand above capacity for ${followed.exceededMilliseconds}, present rule ${present.exceededMilliseconds}",
        )
        assertTrue(
            followed.inTimeShare >= present.inTimeShare - TOLERATED_LATENESS,
            "in time ${followed.inTimeShare}, present rule ${present.inTimeShare}",
        )
    }

    @Nested
    inner class `given many engines, swings and the loss of a data centre's interruptible endpoints` {
        private val day = ReplayedDay(
            "98 engines",
            policy(33),
            slots = 32,
            tokensPerMillisecond = 56.1,
            instances = 66,
            kinds = kinds(68.6, 51.4, 53.5, middleObjective = 1_219.0),
        )

        @Test
        fun `the bill is lower, and demand exceeds capacity no longer than with the whole range`() =
            assertCheaperWithoutLateness(day)
    }

    @Nested
    inner class `given a day without a loss` {
        private val day = ReplayedDay(
            "98 engines, no loss",
            policy(33),
            slots = 32,
            tokensPerMillisecond = 56.1,
            instances = 66,
            kinds = kinds(68.6, 51.4, 53.5, middleObjective = 1_219.0),
            lossAt = 90_000,
            lossEndsAt = 90_000,
        )

        @Test
        fun `the bill is lower, and demand exceeds capacity no longer than with the whole range`() =
            assertCheaperWithoutLateness(day)
    }

    @Nested
    inner class `given engines of uneven and unsteady speed` {
        private val day = ReplayedDay(
            "63 engines",
            policy(21),
            slots = 64,
            tokensPerMillisecond = 49.6,
            instances = 60,
            kinds = kinds(40.7, 17.7, 53.7, middleObjective = 519.0),
            speedFactors = listOf(0.6, 1.0, 1.6),
            isNoisy = true,
        )

        @Test
        fun `the bill is lower, and demand exceeds capacity no longer than with the whole range`() =
            assertCheaperWithoutLateness(day)
    }

    private companion object {
        /** Single prompts are placed differently when the engines differ. */
        const val TOLERATED_LATENESS = 0.002
    }
}
