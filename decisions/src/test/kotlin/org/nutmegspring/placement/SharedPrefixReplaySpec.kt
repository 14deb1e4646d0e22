package org.nutmegspring.placement

import org.nutmegspring.identity.DataCentreId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Replays prompts of two deployments of docs/design/uneven-load.md at 60 instances. They arrive at three times their
 * mean rate, as at the top of a surge: the demand fits only when most shared parts are cached.
 */
class SharedPrefixReplaySpec {
    private val here = DataCentreId("rennes")

    private val bolee = ReplayCase(
        name = "63 engines",
        instances = 60,
        prefillEngines = 50,
        tokensPerMillisecond = 49.6,
        cacheTokens = 440_059,
        classes = listOf(
            PromptClass(13_300, 3_720, 40.7, 627.0, 80),
            PromptClass(6_300, 2_890, 17.7, 519.0, 80),
            PromptClass(350, 1_110, 53.7, 411.0, 80),
        ),
    )

    private val zvmc = ReplayCase(
        name = "98 engines",
        instances = 60,
        prefillEngines = 78,
        tokensPerMillisecond = 56.1,
        cacheTokens = 536_133,
        classes = listOf(
            PromptClass(13_300, 3_720, 68.6, 627.0, 80),
            PromptClass(6_300, 2_890, 51.4, 1_219.0, 80),
            PromptClass(350, 1_110, 53.5, 411.0, 80),
        ),
    )

    private fun presentRule(case: ReplayCase): ReplayRule {
        val speeds = EngineSpeeds(prefillTokensPerMillisecond = case.tokensPerMillisecond)
        val placement = EnginePlacement(speeds, Random(case.seed))
        return ReplayRule { request, candidates, _ -> placement.plan(request, candidates, here) }
    }

    private fun replayPresent(case: ReplayCase): ReplayResult =
        PlacementReplay(case) { presentRule(case) }.run().also { println(it.describe("present rule")) }

    @Test
    fun `the present rule, whose repeated prefills grow with the number of instances`() {
        for (case in listOf(bolee, zvmc)) {
            val result = replayPresent(case)
            assertTrue(result.repeatedTokens > 0)
            assertEquals(result.repeatedTokens, replayPresent(case).repeatedTokens, "a replay of the same seed")
        }
    }
}
