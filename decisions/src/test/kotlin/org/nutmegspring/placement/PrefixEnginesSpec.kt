package org.nutmegspring.placement

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class PrefixEnginesSpec {
    private val engines = List(40) { engine("p$it") }

    private fun engine(name: String) = EngineCandidate(
        id = EndpointId(name),
        role = EngineRole.PREFILL,
        dataCentre = DataCentreId("rennes"),
        queuedTokens = 0,
        cachedTokens = 0,
        requests = 0,
        slots = 64,
    )

    private fun request(prefix: Long, share: Double = 0.0) = PlacementRequest(17_000, 13_300, prefix, 300.0, share)

    private fun select(engines: List<EngineCandidate>, request: PlacementRequest, busy: Set<EndpointId> = emptySet()) =
        PrefixEngines.select(engines, request) { it.id !in busy }.map { it.id }

    /** Guards against a choice that depends on the order in which an instance learned of the engines. */
    @Test
    fun `instances that know the engines in different orders select the same ones`() {
        for (prefix in 0L until 100) {
            val shuffled = engines.shuffled(Random(prefix.toInt()))
            assertEquals(select(engines, request(prefix, 0.1)), select(shuffled, request(prefix, 0.1)))
        }
    }

    /** Guards against an engine that leaves or appears and thereby empties the caches of others. */
    @Test
    fun `an engine that leaves or appears moves only its own prefixes`() {
        val fewer = engines.drop(1)
        var moved = 0
        for (prefix in 0L until 1_000) {
            val before = select(engines, request(prefix)).single()
            val after = select(fewer, request(prefix)).single()
            if (before == engines.first().id) moved++ else assertEquals(before, after, "prefix $prefix")
        }
        assertTrue(moved in 10..45, "prefixes of one engine among 40: $moved of 1000")
    }

    /** Guards against instances that use disjoint engines while they disagree on the list of engines. */
    @Test
    fun `instances that disagree on a few engines select the same ones for nearly all prefixes`() {
        val other = engines.drop(2) + engine("new")
        val alike = (0L until 1_000).count { select(engines, request(it)) == select(other, request(it)) }
        assertTrue(alike > 850, "$alike of 1000")
    }

    /** Guards against a frequent prefix that fills one engine, and a rare one that fills many caches. */
    @Test
    fun `the number of engines follows the share of the demand`() {
        assertEquals(1, select(engines, request(7)).size)
        assertEquals(1, select(engines, request(7, 0.02)).size)
        assertEquals(8, select(engines, request(7, 0.2)).size)
    }

    /** Guards against prompts that wait at their engines until they are late, and against spreading them everywhere. */
    @Test
    fun `the next engine of the order is used only when all of the first are unsuitable`() {
        val order = PrefixEngines.rank(engines, 7).map { it.id }
        assertEquals(listOf(order[1]), select(engines, request(7, 0.05), setOf(order[0])))
        assertEquals(listOf(order[2]), select(engines, request(7, 0.05), setOf(order[0], order[1])))
        assertEquals(engines.map { it.id }.toSet(), select(engines, request(7), order.toSet()).toSet())
    }

    /** Guards against a prefix that moves to an empty engine while the engine that has it cached has time. */
    @Test
    fun `a following engine that has the prefix cached is used beside the first`() {
        val ranked = PrefixEngines.rank(engines, 7)
        val caching = ranked.map { if (it.id == ranked[1].id) it.copy(cachedTokens = 13_300) else it }
        assertEquals(ranked.take(2).map { it.id }, select(caching, request(7)))
        val plan = EnginePlacement().plan(request(7), caching + decodeEngine(), DataCentreId("rennes"))
        assertEquals(ranked[1].id, plan?.prefillEngine?.id)
        assertEquals(PlacementRule.SHARED_PREFIX, plan?.rule)
    }

    /** Guards against prompts without shared parts that all go to the engine of the empty prefix. */
    @Test
    fun `a prompt without shared parts may go to any engine`() {
        val request = PlacementRequest(3_000, 0, 0, 300.0, prefixShare = 0.0)
        val chosen = (0 until 40).map { free ->
            val busy = engines.mapIndexed { index, engine ->
                engine.copy(
                    queuedTokens = if (index ==
                        free
                    ) {
                        0
                    } else {
                        9_000
                    },
                )
            }
            EnginePlacement().plan(request, busy + decodeEngine(), DataCentreId("rennes"))?.prefillEngine?.id
        }
        assertEquals(40, chosen.distinct().size)
    }

    /** Guards against a slow engine that keeps its prefixes although prompts are late there. */
    @Test
    fun `an engine that is slow with its queue is left for the next one`() {
        val ranked = PrefixEngines.rank(engines, 7)
        val slow = ranked.map {
            if (it.id == ranked[0].id) it.copy(queuedTokens = 10_000, slowdown = 4.0) else it
        }
        val plan = EnginePlacement().plan(request(7), slow + decodeEngine(), DataCentreId("rennes"))
        assertNotEquals(ranked[0].id, plan?.prefillEngine?.id)
        assertEquals(ranked[1].id, plan?.prefillEngine?.id)
    }

    /** Guards against another rule in small fleets, whose reports are fresh. */
    @Test
    fun `the rule follows the interval of reports`() {
        assertEquals(PlacementRule.EARLIEST, PlacementRule.select(100.milliseconds))
        assertEquals(PlacementRule.EARLIEST, PlacementRule.select(150.milliseconds))
        assertEquals(PlacementRule.SHARED_PREFIX, PlacementRule.select(590.milliseconds))
    }

    private fun decodeEngine() = engine("d").copy(role = EngineRole.DECODE, slots = 1_000)
}
