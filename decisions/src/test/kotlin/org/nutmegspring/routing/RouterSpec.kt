package org.nutmegspring.routing

import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.CacheEvent
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class RouterSpec {
    private val centre = DataCentreId("rennes")
    private val start = MonotonicTime.ZERO
    private val demand = GenerationDemand(listOf(11L, 12L, 13L), 6_500, 100, centre)
    private val policies = listOf(
        RoutingPolicy.LeastLoaded,
        RoutingPolicy.TwoChoices,
        RoutingPolicy.BoundedHash(),
        RoutingPolicy.CacheVotes(),
        RoutingPolicy.ExpectedDelay(),
    )

    private fun engine(number: Int) = EndpointId("engine-$number")

    private fun fleet(engines: Int, instances: Int = 1) = FleetView(EngineCosts(), instances).apply {
        repeat(engines) { add(engine(it), centre) }
    }

    private fun report(
        number: Int,
        role: EngineRole = EngineRole.MIXED,
        queuedTokens: Long = 0,
        cached: List<Long> = emptyList(),
        changing: Boolean = false,
    ) = LoadReport(
        engine = engine(number),
        target = EngineTarget(role, ModelId("model"), "1"),
        changing = changing,
        queuedPromptTokens = queuedTokens,
        activeStreams = 0,
        queuedRequests = 0,
        sequence = 1,
        cachedPieces = cached.map { CacheEvent(it, true) },
    )

    @Nested
    inner class `given an engine that takes no work` {
        @Test
        fun `no policy chooses it`() {
            for (policy in policies) {
                val fleet = fleet(6)
                fleet.apply(report(2, cached = demand.pieces, changing = true), start, Duration.ZERO)
                val router = router(fleet, policy, Random(5))
                repeat(200) {
                    val chosen = assertNotNull(router.choose(demand, start, Exclusion(setOf(engine(4))))).prefill.id
                    assertTrue(chosen != engine(2) && chosen != engine(4), "$policy chose $chosen")
                }
            }
        }

        @Test
        fun `nothing is chosen when it is the only one`() {
            for (policy in policies) {
                val fleet = fleet(1)
                fleet.find(engine(0))?.departing = true
                assertNull(router(fleet, policy, Random(5)).choose(demand, start))
            }
        }
    }

    @Nested
    inner class `given engines with cached pieces` {
        @Test
        fun `the idle engine that has the prompt is chosen`() {
            for (policy in listOf(RoutingPolicy.CacheVotes(), RoutingPolicy.ExpectedDelay())) {
                val fleet = fleet(12)
                fleet.apply(report(7, cached = demand.pieces), start, Duration.ZERO)
                assertEquals(engine(7), router(fleet, policy, Random(5)).choose(demand, start)?.prefill?.id)
            }
        }

        @Test
        fun `an overloaded engine that has the prompt is not chosen`() {
            for (policy in listOf(RoutingPolicy.CacheVotes(), RoutingPolicy.ExpectedDelay())) {
                val fleet = fleet(12)
                fleet.apply(report(7, queuedTokens = 100_000, cached = demand.pieces), start, Duration.ZERO)
                assertNotEquals(engine(7), router(fleet, policy, Random(5)).choose(demand, start)?.prefill?.id)
            }
        }

        @Test
        fun `what was sent counts as cached before any report`() {
            val fleet = fleet(12)
            val router = router(fleet, RoutingPolicy.ExpectedDelay(), Random(5))
            val first = assertNotNull(router.choose(demand, start))
            fleet.sent(demand, first, start)
            val next = assertNotNull(router.choose(demand, start + 2.seconds))
            assertEquals(first.prefill.id, next.prefill.id)
            assertEquals(500, next.expectedUncachedTokens)
        }

        @Test
        fun `a removed engine leaves no cached pieces to the engine that takes its slot`() {
            val fleet = fleet(3)
            fleet.apply(report(1, cached = demand.pieces), start, Duration.ZERO)
            fleet.remove(engine(1))
            val replacement = fleet.add(engine(9), centre)
            assertEquals(0, fleet.cache.leadingPieces(demand, replacement.slot))
        }
    }

    @Nested
    inner class `given separate engines for prefill and decode` {
        @Test
        fun `each part goes to an engine of its role`() {
            for (policy in policies) {
                val fleet = fleet(4)
                listOf(0, 1).forEach { fleet.apply(report(it, EngineRole.PREFILL), start, Duration.ZERO) }
                listOf(2, 3).forEach { fleet.apply(report(it, EngineRole.DECODE), start, Duration.ZERO) }
                val placement = assertNotNull(router(fleet, policy, Random(5)).choose(demand, start))
                assertEquals(EngineRole.PREFILL, placement.prefill.role)
                assertEquals(EngineRole.DECODE, placement.decode.role)
            }
        }
    }
}
