package org.nutmegspring.placement

import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.math.exp
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class EnginePlacementSpec {
    private val here = DataCentreId("rennes")
    private val there = DataCentreId("brest")
    private val placement = EnginePlacement()
    private val work = PlacedWork(promptTokens = 17_000, sharedTokens = 13_300, chainKey = 42)

    private fun engine(
        name: String,
        role: EngineRole,
        tokensAhead: Long = 0,
        heldTokens: Int = 0,
        requests: Int = 0,
        dataCentre: DataCentreId = here,
        slowdown: Double = 1.0,
    ) = EngineCandidate(EndpointId(name), role, dataCentre, tokensAhead, heldTokens, requests, 64, slowdown)

    @Nested
    inner class `given engines that read and one that generates` {
        private val generator = engine("g", EngineRole.DECODE)

        @Test
        fun `the prompt goes to the engine that holds its beginning`() {
            val engines = listOf(engine("a", EngineRole.PREFILL), engine("b", EngineRole.PREFILL, heldTokens = 13_300))
            val plan = assertIs<EnginePlan.Handover>(placement.plan(work, engines + generator, here))
            assertEquals("b", plan.reader.id.value)
            assertEquals("g", placement.generator(work, engines + generator, plan.reader)?.value)
        }

        @Test
        fun `a long queue there sends it elsewhere`() {
            val holder = engine("b", EngineRole.PREFILL, tokensAhead = 60_000, heldTokens = 13_300)
            val plan = placement.plan(work, listOf(engine("a", EngineRole.PREFILL), holder, generator), here)
            assertEquals("a", assertIs<EnginePlan.Handover>(plan).reader.id.value)
        }

        @Test
        fun `an engine that answers slowly is avoided`() {
            val slow = engine("b", EngineRole.PREFILL, heldTokens = 13_300, slowdown = 8.0)
            val plan = placement.plan(work, listOf(engine("a", EngineRole.PREFILL), slow, generator), here)
            assertEquals("a", assertIs<EnginePlan.Handover>(plan).reader.id.value)
        }

        @Test
        fun `a prompt that is nearly all held by the generating engine stays there`() {
            val holder = engine("g", EngineRole.DECODE, heldTokens = 16_800)
            val plan = placement.plan(work, listOf(engine("a", EngineRole.PREFILL), holder), here)
            assertEquals("g", assertIs<EnginePlan.Direct>(plan).reader.id.value)
        }

        @Test
        fun `all instances read a prompt that nobody holds at the same engine`() {
            val engines = List(10) { engine("p$it", EngineRole.PREFILL) } + generator
            val chosen = listOf(here, there).map { placement.plan(work, engines.shuffled(Random(it.hashCode())), it) }
            assertEquals(1, chosen.map { assertIs<EnginePlan.Handover>(it).reader.id }.distinct().size)
        }
    }

    @Nested
    inner class `given a hot prompt whose holder has a queue` {
        private val holder = engine("h", EngineRole.PREFILL, tokensAhead = 16_000, heldTokens = 13_300)
        private val generator = engine("g", EngineRole.DECODE)

        private fun reader(others: List<EngineCandidate>): String =
            assertIs<EnginePlan.Handover>(placement.plan(work, others + holder + generator, here)).reader.id.value

        @Test
        fun `an idle engine reads it again, which takes time from nobody`() {
            assertNotEquals("h", reader(List(9) { engine("p$it", EngineRole.PREFILL) }))
        }

        @Test
        fun `an engine with room reads it again when the wait at the holder would have it refused`() {
            val full = holder.copy(tokensAhead = 22_000)
            val others = List(9) { engine("p$it", EngineRole.PREFILL, tokensAhead = 9_000) }
            val bounded = work.copy(longestWaitMilliseconds = 350.0)
            val plan = assertIs<EnginePlan.Handover>(placement.plan(bounded, others + full + generator, here))
            assertTrue(plan.waitMilliseconds <= 350, "waits for ${plan.waitMilliseconds} ms")
            val unbounded = assertIs<EnginePlan.Handover>(placement.plan(work, others + full + generator, here))
            assertEquals("h", unbounded.reader.id.value)
        }

        @Test
        fun `it stays while all engines have queues, since reading again would lengthen them`() {
            assertEquals("h", reader(List(9) { engine("p$it", EngineRole.PREFILL, tokensAhead = 3_000) }))
        }
    }

    @Nested
    inner class `without engines that read` {
        @Test
        fun `a generating engine reads the prompt itself`() {
            val plan = placement.plan(work, listOf(engine("g", EngineRole.DECODE)), here)
            assertIs<EnginePlan.Direct>(plan)
        }
    }

    @Nested
    inner class `without engines that generate` {
        @Test
        fun `there is no plan`() {
            assertNull(placement.plan(work, listOf(engine("a", EngineRole.PREFILL)), here))
        }
    }

    /**
     * Replays prompts with much in common at ten reading engines, at a rate that they carry only when most of the
     * common parts are held. Each engine reads 60 tokens in a millisecond, in the order of arrival.
     */
    @Nested
    inner class `under prompts with much in common, faster than they could be read whole` {
        private inner class Reader(val id: String) {
            val belief = PrefixCacheBelief(500_000)
            var busyUntil = 0.0

            fun candidate(chain: List<PromptPart>, now: Double) = engine(
                id,
                EngineRole.PREFILL,
                tokensAhead = (maxOf(0.0, busyUntil - now) * 60).toLong(),
                heldTokens = belief.heldTokens(chain),
            )
        }

        private fun inTime(choose: (PlacedWork, List<EngineCandidate>) -> EndpointId): Double {
            val random = Random(7)
            val readers = List(10) { Reader("p$it") }
            val sharedTokens = List(145) { (4_000 + random.nextInt(18_000)) }
            var now = 0.0
            var met = 0
            val requests = 3_000
            repeat(requests) { index ->
                now += 1000.0 / 60 * -kotlin.math.ln(1 - random.nextDouble())
                val topic = random.nextInt(sharedTokens.size)
                val own = (3_720 * exp(random.nextDouble() - 0.5)).toInt()
                val chain = promptChain("m", listOf(topic.toLong(), 1_000L + index), listOf(sharedTokens[topic], own))
                val work = PlacedWork(sharedTokens[topic] + own, sharedTokens[topic], chain.first().chainHash)
                val chosen = choose(work, readers.map { it.candidate(chain, now) })
                val reader = readers.first { it.id == chosen.value }
                val unread = work.promptTokens - reader.belief.heldTokens(chain)
                reader.busyUntil = maxOf(reader.busyUntil, now) + unread / 60.0
                reader.belief.read(chain)
                if (reader.busyUntil - now <= 500) met++
            }
            return met.toDouble() / requests
        }

        @Test
        fun `nine in ten are read within half a second, where the shortest queue alone meets it for under half`() {
            val generator = engine("g", EngineRole.DECODE)
            val placed = inTime { work, readers ->
                assertIs<EnginePlan.Handover>(placement.plan(work, readers + generator, here)).reader.id
            }
            val shortest = inTime { _, readers -> readers.minBy { it.tokensAhead }.id }
            assertTrue(placed > 0.9, "placed by held parts: $placed")
            assertTrue(shortest < 0.5, "placed by the shortest queue: $shortest")
        }
    }
}
