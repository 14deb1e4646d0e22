package org.nutmegspring.placement

import org.nutmegspring.identity.DataCentreId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Replays prompts of two deployments of docs/design/uneven-load.md at 60 instances. They arrive at one to three times
 * their mean rate, in a swing: at its top the demand fits only when most shared parts are cached.
 */
class SharedPrefixReplaySpec {
    private val here = DataCentreId("rennes")

    private val fewer = ReplayCase(
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

    private val more = ReplayCase(
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

    private fun sharedPrefixRule(case: ReplayCase): ReplayRule {
        val speeds = EngineSpeeds(prefillTokensPerMillisecond = case.tokensPerMillisecond)
        val placement = EnginePlacement(speeds, Random(case.seed))
        val demand = PrefixDemand()
        return ReplayRule { request, candidates, now ->
            demand.record(request.sharedPrefixHash, request.promptTokens - request.sharedTokens, now)
            val share = demand.findShare(request.sharedPrefixHash)
            placement.plan(request.copy(prefixShare = share), candidates, here)
        }
    }

    private fun replayPresentRule(case: ReplayCase): ReplayResult =
        PlacementReplay(case) { presentRule(case) }.run().also { println(it.describe("present rule")) }

    private fun replayNewRule(case: ReplayCase): ReplayResult =
        PlacementReplay(case) { sharedPrefixRule(case) }.run().also { println(it.describe("shared prefixes")) }

    private fun assertBetter(case: ReplayCase) {
        val present = replayPresentRule(case)
        val new = replayNewRule(case)
        assertTrue(new.repeatedTokens < present.repeatedTokens, "tokens prefilled again")
        assertTrue(new.onTime > present.onTime, "on time")
    }

    @Test
    fun `two replays of the same seed have the same figures`() {
        assertEquals(replayNewRule(fewer).describe(""), replayNewRule(fewer).describe(""))
    }

    /** Guards against a rule that needs reports to agree on engines. */
    @Test
    fun `fewer shared tokens are prefilled again and more prompts are on time when reports are late`() {
        assertBetter(fewer)
        assertBetter(more)
    }

    /** Guards against engines that all instances expect to have caches which are gone. */
    @Test
    fun `five seconds after half of the engines were replaced the former level is reached nearly`() {
        for (case in listOf(fewer, more)) {
            val result = replayNewRule(case)
            val before = result.onTimeBetween(5_000.0, 20_000.0)
            assertTrue(result.onTimeBetween(29_000.0, 40_000.0) > before * 0.9)
            assertTrue(result.onTimeBetween(24_000.0, 29_000.0) > before * 0.9)
        }
    }

    /** Guards against a rule that is better only by what reports still tell. */
    @Test
    fun `more prompts are on time when a third of the reports or all of them are lost`() {
        assertBetter(fewer.copy(name = "a third of the reports lost", reports = ReplayReports(lostShare = 0.33)))
        assertBetter(fewer.copy(name = "all reports lost", reports = ReplayReports(lostShare = 1.0)))
    }

    /** Guards against prefixes that stay with engines which are slow. */
    @Test
    fun `more prompts are on time when a tenth of the engines is slow`() {
        assertBetter(fewer.copy(name = "slow engines", slowEngines = 5))
    }

    /** Guards against gains that one order of arrivals explains. */
    @Test
    fun `other arrivals give the same order of the rules`() {
        for (seed in 6..8) assertBetter(fewer.copy(name = "seed $seed", seed = seed))
    }
}
