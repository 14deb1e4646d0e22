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

    private fun engineId(number: Int) = EndpointId("engine-$number")

    private fun fleet(engines: Int, instances: Int = 1) = FleetView(EngineCosts(), instances).apply {
        repeat(engines) { add(engineId(it), centre) }
    }

    private fun report(
        number: Int,
        role: EngineRole = EngineRole.MIXED,
        queuedTokens: Long = 0,
        cached: List<Long> = emptyList(),
        changing: Boolean = false,
    ) = LoadReport(
        engine = engineId(number),
        target = EngineTarget(role, ModelId("model"), "1"),
        changing = changing,
        queuedPromptTokens = queuedTokens,
        activeStreams = 0,
        queuedRequests = 0,
        sequence = 1,
        cachedPieces = cached.map { CacheEvent(it, true) },
    )

    @Nested
    inner class `given an engine that accepts no requests` {
        @Test
        fun `no policy chooses it`() {
            for (policy in policies) {
                val fleet = fleet(6)
                fleet.applyReport(report(2, cached = demand.pieces, changing = true), start, Duration.ZERO)
                val router = createRouter(fleet, policy, Random(5))
                repeat(200) {
                    val chosen = assertNotNull(router.choose(demand, start, Exclusion(setOf(engineId(4))))).prefill.id
                    assertTrue(chosen != engineId(2) && chosen != engineId(4), "$policy chose $chosen")
                }
            }
        }

        @Test
        fun `no engine is chosen if it is the only one`() {
            for (policy in policies) {
                val fleet = fleet(1)
                fleet.find(engineId(0))?.isDeparting = true
                assertNull(createRouter(fleet, policy, Random(5)).choose(demand, start))
            }
        }
    }

    @Nested
    inner class `given engines with cached pieces` {
        @Test
        fun `an idle engine that has the prompt cached is chosen`() {
            for (policy in listOf(RoutingPolicy.CacheVotes(), RoutingPolicy.ExpectedDelay())) {
                val fleet = fleet(12)
                fleet.applyReport(report(7, cached = demand.pieces), start, Duration.ZERO)
                assertEquals(engineId(7), createRouter(fleet, policy, Random(5)).choose(demand, start)?.prefill?.id)
            }
        }

        @Test
        fun `an overloaded engine that has the prompt cached is not chosen`() {
            for (policy in listOf(RoutingPolicy.CacheVotes(), RoutingPolicy.ExpectedDelay())) {
                val fleet = fleet(12)
                fleet.applyReport(report(7, queuedTokens = 100_000, cached = demand.pieces), start, Duration.ZERO)
                assertNotEquals(engineId(7), createRouter(fleet, policy, Random(5)).choose(demand, start)?.prefill?.id)
            }
        }

        @Test
        fun `a dispatched prompt counts as cached before any report`() {
            val fleet = fleet(12)
            val router = createRouter(fleet, RoutingPolicy.ExpectedDelay(), Random(5))
            val first = assertNotNull(router.choose(demand, start))
            fleet.recordDispatch(demand, first, start)
            val next = assertNotNull(router.choose(demand, start + 2.seconds))
            assertEquals(first.prefill.id, next.prefill.id)
            assertEquals(500, next.expectedUncachedTokens)
        }

        @Test
        fun `an engine that reuses the slot of a removed engine has no cached pieces`() {
            val fleet = fleet(3)
            fleet.applyReport(report(1, cached = demand.pieces), start, Duration.ZERO)
            fleet.remove(engineId(1))
            val replacement = fleet.add(engineId(9), centre)
            assertEquals(0, fleet.cache.countLeadingPieces(demand, replacement.slot))
        }
    }

    @Nested
    inner class `given separate engines for prefill and decode` {
        @Test
        fun `each phase is placed on an engine with its role`() {
            for (policy in policies) {
                val fleet = fleet(4)
                listOf(0, 1).forEach { fleet.applyReport(report(it, EngineRole.PREFILL), start, Duration.ZERO) }
                listOf(2, 3).forEach { fleet.applyReport(report(it, EngineRole.DECODE), start, Duration.ZERO) }
                val placement = assertNotNull(createRouter(fleet, policy, Random(5)).choose(demand, start))
                assertEquals(EngineRole.PREFILL, placement.prefill.role)
                assertEquals(EngineRole.DECODE, placement.decode.role)
            }
        }
    }
}
