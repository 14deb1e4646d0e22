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
    private val request = PlacementRequest(promptTokens = 17_000, sharedTokens = 13_300, sharedPrefixHash = 42)

    private fun engine(
        name: String,
        role: EngineRole,
        queuedTokens: Long = 0,
        cachedTokens: Int = 0,
        requests: Int = 0,
        dataCentre: DataCentreId = here,
        slowdown: Double = 1.0,
        slots: Int = 64,
    ) = EngineCandidate(EndpointId(name), role, dataCentre, queuedTokens, cachedTokens, requests, slots, slowdown)

    @Nested
    inner class `given prefill engines and one decode engine` {
        private val decodeEngine = engine("g", EngineRole.DECODE)

        @Test
        fun `the prompt goes to the engine that has its prefix cached`() {
            val cachingEngine = engine("b", EngineRole.PREFILL, cachedTokens = 13_300)
            val engines = listOf(engine("a", EngineRole.PREFILL), cachingEngine)
            val plan = assertIs<EnginePlan.Handover>(placement.plan(request, engines + decodeEngine, here))
            assertEquals("b", plan.prefillEngine.id.value)
            assertEquals("g", placement.findDecodeEngine(request, engines + decodeEngine, plan.prefillEngine)?.value)
        }

        @Test
        fun `the prompt goes elsewhere when that engine has a long queue`() {
            val cachingEngine = engine("b", EngineRole.PREFILL, queuedTokens = 60_000, cachedTokens = 13_300)
            val engines = listOf(engine("a", EngineRole.PREFILL), cachingEngine, decodeEngine)
            val plan = placement.plan(request, engines, here)
            assertEquals("a", assertIs<EnginePlan.Handover>(plan).prefillEngine.id.value)
        }

        @Test
        fun `an engine that answers slowly is avoided`() {
            val slow = engine("b", EngineRole.PREFILL, cachedTokens = 13_300, slowdown = 8.0)
            val plan = placement.plan(request, listOf(engine("a", EngineRole.PREFILL), slow, decodeEngine), here)
            assertEquals("a", assertIs<EnginePlan.Handover>(plan).prefillEngine.id.value)
        }

        @Test
        fun `a prompt that the decode engine has nearly all cached is prefilled there`() {
            val cachingEngine = engine("g", EngineRole.DECODE, cachedTokens = 16_800)
            val plan = placement.plan(request, listOf(engine("a", EngineRole.PREFILL), cachingEngine), here)
            assertEquals("g", assertIs<EnginePlan.Direct>(plan).prefillEngine.id.value)
        }

        @Test
        fun `all instances choose the same engine for a prefix that no engine has cached`() {
            val engines = List(10) { engine("p$it", EngineRole.PREFILL) } + decodeEngine
            val chosen = listOf(here, there)
                .map { placement.plan(request, engines.shuffled(Random(it.hashCode())), it) }
            assertEquals(1, chosen.map { assertIs<EnginePlan.Handover>(it).prefillEngine.id }.distinct().size)
        }
    }

    @Nested
    inner class `given a frequent prefix that only an engine with a queue has cached` {
        private val cachingEngine = engine("h", EngineRole.PREFILL, queuedTokens = 16_000, cachedTokens = 13_300)
        private val decodeEngine = engine("g", EngineRole.DECODE)

        private fun choosePrefillEngine(others: List<EngineCandidate>): String =
            assertIs<EnginePlan.Handover>(placement.plan(request, others + cachingEngine + decodeEngine, here))
                .prefillEngine.id.value

        @Test
        fun `an idle engine recomputes it, which delays no other request`() {
            assertNotEquals("h", choosePrefillEngine(List(9) { engine("p$it", EngineRole.PREFILL) }))
        }

        @Test
        fun `another engine recomputes it when the wait at the first exceeds the longest wait`() {
            val full = cachingEngine.copy(queuedTokens = 22_000)
            val others = List(9) { engine("p$it", EngineRole.PREFILL, queuedTokens = 9_000) }
            val bounded = request.copy(longestWaitMilliseconds = 350.0)
            val plan = assertIs<EnginePlan.Handover>(placement.plan(bounded, others + full + decodeEngine, here))
            assertTrue(plan.waitMilliseconds <= 350, "waits for ${plan.waitMilliseconds} ms")
            val unbounded = assertIs<EnginePlan.Handover>(placement.plan(request, others + full + decodeEngine, here))
            assertEquals("h", unbounded.prefillEngine.id.value)
        }

        @Test
        fun `the prompt stays there while all engines have queues, which a recomputation would lengthen`() {
            assertEquals("h", choosePrefillEngine(List(9) { engine("p$it", EngineRole.PREFILL, queuedTokens = 3_000) }))
        }
    }

    @Nested
    inner class `given decode engines that are believed to be full` {
        @Test
        fun `there is a plan, since requests may wait there`() {
            val full = engine("g", EngineRole.DECODE, requests = 8, slots = 8)
            val engines = listOf(engine("a", EngineRole.PREFILL, slots = 8), full)
            assertIs<EnginePlan.Handover>(placement.plan(request, engines, here))
            assertEquals("g", placement.findDecodeEngine(request, engines, engines.first())?.value)
        }
    }

    @Nested
    inner class `given short prompts` {
        private val short = PlacementRequest(promptTokens = 290, sharedTokens = 90, sharedPrefixHash = 7)

        @Test
        fun `a decode engine prefills them itself, also when no other engine has work`() {
            val engines =
                List(10) { engine("p$it", EngineRole.PREFILL) } + List(4) { engine("d$it", EngineRole.DECODE) }
            assertIs<EnginePlan.Direct>(placement.plan(short, engines, here))
        }
    }

    @Nested
    inner class `without prefill engines` {
        @Test
        fun `a decode engine prefills the prompt itself`() {
            val plan = placement.plan(request, listOf(engine("g", EngineRole.DECODE)), here)
            assertIs<EnginePlan.Direct>(plan)
        }
    }

    @Nested
    inner class `without decode engines` {
        @Test
        fun `there is no plan`() {
            assertNull(placement.plan(request, listOf(engine("a", EngineRole.PREFILL)), here))
        }
    }

    /**
     * Simulates prompts with large shared prefixes at ten prefill engines, at a rate that they sustain only when most
     * of the shared prefixes are cached. Each engine prefills 60 tokens per millisecond, first in, first out.
     */
    @Nested
    inner class `at a rate of prompts with shared prefixes that needs the prefix cache` {
        private inner class SimulatedEngine(val id: String) {
            val estimate = PrefixCacheEstimate(500_000)
            var busyUntil = 0.0

            fun candidate(chain: List<PromptPart>, now: Double) = engine(
                id,
                EngineRole.PREFILL,
                queuedTokens = (maxOf(0.0, busyUntil - now) * 60).toLong(),
                cachedTokens = estimate.countCachedTokens(chain),
            )
        }

        private fun shareInTime(choose: (PlacementRequest, List<EngineCandidate>) -> EndpointId): Double {
            val random = Random(7)
            val engines = List(10) { SimulatedEngine("p$it") }
            val sharedTokens = List(145) { (4_000 + random.nextInt(18_000)) }
            var now = 0.0
            var inTime = 0
            val requests = 3_000
            repeat(requests) { index ->
                now += 1000.0 / 60 * -kotlin.math.ln(1 - random.nextDouble())
                val prefix = random.nextInt(sharedTokens.size)
                val ownTokens = (3_720 * exp(random.nextDouble() - 0.5)).toInt()
                val shared = sharedTokens[prefix]
                val chain = buildPromptChain("m", listOf(prefix.toLong(), 1_000L + index), listOf(shared, ownTokens))
                val request = PlacementRequest(shared + ownTokens, shared, chain.first().chainHash)
                val chosen = choose(request, engines.map { it.candidate(chain, now) })
                val engine = engines.first { it.id == chosen.value }
                val uncached = request.promptTokens - engine.estimate.countCachedTokens(chain)
                engine.busyUntil = maxOf(engine.busyUntil, now) + uncached / 60.0
                engine.estimate.recordPrefill(chain)
                if (engine.busyUntil - now <= 500) inTime++
            }
            return inTime.toDouble() / requests
        }

        @Test
        fun `over 90 percent are prefilled within 500 ms, against under 50 percent by the shortest queue`() {
            val decodeEngine = engine("g", EngineRole.DECODE)
            val placed = shareInTime { request, engines ->
                assertIs<EnginePlan.Handover>(placement.plan(request, engines + decodeEngine, here)).prefillEngine.id
            }
            val shortest = shareInTime { _, engines -> engines.minBy { it.queuedTokens }.id }
            assertTrue(placed > 0.9, "placed by cached prefixes: $placed")
            assertTrue(shortest < 0.5, "placed by the shortest queue: $shortest")
        }
    }

    /**
     * Simulates outputs that 74 instances send to 16 engines with 8 slots. Each instance knows its own requests only.
     * An engine runs 8 outputs, lets 24 wait and refuses more.
     */
    @Nested
    inner class `at a rate of outputs from many instances to engines with few slots` {
        private inner class Outputs(private val choose: EnginePlacement) {
            private val random = Random(11)
            private val engines = List(16) { engine("d$it", EngineRole.DECODE, slots = 8) }
            private val source = engine("p", EngineRole.PREFILL, slots = 8)
            private val ends = engines.associate { it.id to mutableListOf<Double>() }
            private val own = HashMap<Pair<Int, EndpointId>, MutableList<Double>>()
            var waiting = 0
            var refused = 0

            fun run() {
                var now = 0.0
                repeat(REQUESTS) {
                    now += 1000.0 / 350 * -kotlin.math.ln(1 - random.nextDouble())
                    val instance = random.nextInt(74)
                    val known = engines.map { it.copy(requests = countOwn(instance, it.id, now)) }
                    val chosen = checkNotNull(choose.findDecodeEngine(request, known + source, source))
                    send(instance, chosen, now)
                }
            }

            private fun countOwn(instance: Int, engine: EndpointId, now: Double): Int =
                own[instance to engine]?.also { mine -> mine.removeIf { it <= now } }?.size ?: 0

            private fun send(instance: Int, engine: EndpointId, now: Double) {
                val running = ends.getValue(engine).also { ended -> ended.removeIf { it <= now } }
                if (running.size >= 32) {
                    refused++
                } else if (running.size >= 8) {
                    waiting++
                }
                if (running.size >= 32) return
                val end = now + 250 * -kotlin.math.ln(1 - random.nextDouble())
                running += end
                own.getOrPut(instance to engine) { mutableListOf() } += end
            }
        }

        private fun play(random: Random) = Outputs(EnginePlacement(random = random)).also { it.run() }

        @Test
        fun `under 25 percent wait and none is refused, against a fifth refused without chance`() {
            val spread = play(Random(3))
            val withoutChance = play(object : Random() {
                override fun nextBits(bitCount: Int): Int = 0
            })
            assertEquals(0, spread.refused, "refused")
            assertTrue(spread.waiting < REQUESTS * 0.25, "waiting: ${spread.waiting} of $REQUESTS")
            assertTrue(withoutChance.refused > REQUESTS / 5, "refused without chance: ${withoutChance.refused}")
        }
    }

    private companion object {
        const val REQUESTS = 10_000
    }
}
