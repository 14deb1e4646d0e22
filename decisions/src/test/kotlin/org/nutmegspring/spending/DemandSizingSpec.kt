package org.nutmegspring.spending

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class DemandSizingSpec {
    private val rennes = DataCentreId("rennes")
    private val brest = DataCentreId("brest")
    private val quimper = DataCentreId("quimper")
    private val dataCentres = listOf(rennes, brest, quimper)
    private val policy = ScalingPolicy(
        minEndpoints = 2,
        maxEndpoints = 32,
        startUpTime = 4.seconds,
        interruptiblePriceRatio = 0.22,
        prices = mapOf(rennes to 0.8, brest to 1.0, quimper to 1.25),
    )
    private val sizing = DemandSizing()
    private var elapsed = Duration.ZERO
    private var running = counts(30, 30, 30)

    private fun counts(vararg interruptible: Int): Map<DataCentreId, EndpointCounts> =
        dataCentres.zip(interruptible.toList()).associate { (dataCentre, count) ->
            dataCentre to EndpointCounts(2, count)
        }

    private fun demand(tokens: Double, isComplete: Boolean = true, refusedShare: Double = 0.0) =
        FleetDemand(tokens, outputSlots = 20.0, refusedShare, isComplete)

    private fun update(
        demand: FleetDemand?,
        policy: ScalingPolicy = this.policy,
        slots: Int? = 64,
        by: DemandSizing = sizing,
    ): SizingDecision? = by.update(policy, slots, running, demand, MonotonicTime.ZERO + elapsed)

    /** Lets [time] pass with [demand], while orders are carried out at once, and returns the targets that changed. */
    private fun pass(time: Duration, demand: FleetDemand?): List<Map<DataCentreId, EndpointCounts>> {
        val end = elapsed + time
        val changes = mutableListOf<Map<DataCentreId, EndpointCounts>>()
        while (elapsed < end) {
            elapsed += 0.5.seconds
            val targets = assertNotNull(update(demand)).targets
            if (targets != running) changes += targets
            running = targets
        }
        return changes
    }

    private fun interruptible(targets: Map<DataCentreId, EndpointCounts>) =
        dataCentres.map { targets.getValue(it).interruptible }

    @Nested
    inner class `given no demand to follow` {
        @Test
        fun `the whole range is ordered before any demand was measured`() {
            val decision = assertNotNull(update(null))
            assertEquals(counts(30, 30, 30), decision.targets)
            assertEquals(SizingReason.WHOLE_RANGE, decision.reason)
        }

        @Test
        fun `the whole range is ordered where the configuration has no prices`() {
            val decision = assertNotNull(update(demand(1.0), policy.copy(prices = emptyMap())))
            assertEquals(SizingReason.WHOLE_RANGE, decision.reason)
        }

        @Test
        fun `the whole range is ordered for a plain service`() =
            assertEquals(counts(30, 30, 30), update(demand(1.0), slots = null)?.targets)

        @Test
        fun `the operators' numbers apply without interruptible endpoints or without a range`() {
            assertNull(update(demand(1.0), policy.copy(interruptiblePriceRatio = null)))
            assertNull(update(demand(1.0), policy.copy(minEndpoints = 32)))
        }

        @Test
        fun `nothing is ordered while no endpoint is listed`() {
            running = emptyMap()
            assertNull(update(demand(1.0)))
        }
    }

    @Nested
    inner class `given a demand far below the capacity` {
        @Test
        fun `nothing is lowered before the demand of a whole swing is known`() {
            pass(2.seconds, null)
            assertEquals(emptyList(), pass(20.seconds, demand(100.0, isComplete = false)))
        }

        @Test
        fun `one data centre after the other is lowered by one order each, the most expensive first`() {
            pass(2.seconds, null)
            val changes = pass(60.seconds, demand(100.0)).map(::interruptible)
            assertEquals(3, changes.size, "$changes")
            assertTrue(changes.first()[0] == 30 && changes.first()[1] == 30 && changes.first()[2] < 30, "$changes")
        }

        @Test
        fun `at least half of the range stays, and four tenths of it without any one data centre`() {
            pass(2.seconds, null)
            pass(60.seconds, demand(0.1))
            val endpoints = running.values.sumOf { it.steady + it.interruptible }
            assertTrue(endpoints >= 48, "$running")
            running.values.forEach { assertTrue(endpoints - it.interruptible >= 38, "$running") }
            assertTrue(running.values.all { it.steady == 2 })
        }

        @Test
        fun `a demand that varies a little leads to no orders`() {
            pass(2.seconds, null)
            pass(60.seconds, demand(500.0))
            val changes = List(40) { pass(1.seconds, demand(if (it % 2 == 0) 470.0 else 530.0)) }.flatten()
            assertEquals(emptyList(), changes)
        }
    }

    @Nested
    inner class `when the demand grows` {
        @Test
        fun `the targets rise at once and fall no sooner than after a pause`() {
            pass(2.seconds, null)
            pass(60.seconds, demand(100.0))
            val lowered = running
            val raised = pass(0.5.seconds, demand(700.0)).single()
            assertTrue(
                raised.all { (dataCentre, target) ->
                    target.interruptible >= lowered.getValue(dataCentre).interruptible
                },
            )
            assertTrue(raised != lowered)
            assertEquals(emptyList(), pass(9.seconds, demand(100.0)))
        }

        @Test
        fun `the whole range is ordered when it does not suffice`() {
            pass(2.seconds, null)
            pass(60.seconds, demand(100.0))
            assertEquals(counts(30, 30, 30), pass(0.5.seconds, demand(10_000.0)).single())
        }

        @Test
        fun `the whole range is ordered when engines refuse work although the demand seems low`() {
            pass(2.seconds, null)
            pass(60.seconds, demand(100.0))
            assertEquals(counts(30, 30, 30), pass(0.5.seconds, demand(100.0, refusedShare = 0.1)).single())
            assertEquals(emptyList(), pass(14.seconds, demand(100.0)))
        }
    }

    @Nested
    inner class `when a data centre loses its interruptible endpoints` {
        private fun lose(): SizingDecision {
            pass(2.seconds, null)
            pass(60.seconds, demand(400.0))
            running = running + (rennes to EndpointCounts(2, 0))
            elapsed += 0.5.seconds
            return assertNotNull(update(demand(400.0)))
        }

        @Test
        fun `others replace them at once, and its own target stays`() {
            pass(2.seconds, null)
            pass(60.seconds, demand(400.0))
            val before = running
            running = running + (rennes to EndpointCounts(2, 0))
            elapsed += 0.5.seconds
            val decision = assertNotNull(update(demand(400.0)))
            assertEquals(SizingReason.REPLACED, decision.reason)
            assertEquals(before[rennes], decision.targets[rennes])
            val others = listOf(brest, quimper).sumOf { decision.targets.getValue(it).interruptible }
            assertTrue(others > listOf(brest, quimper).sumOf { before.getValue(it).interruptible }, "$decision")
            assertEquals(setOf(rennes), decision.replacedElsewhere)
        }

        @Test
        fun `steady ones may substitute where the others' range does not suffice`() {
            lose()
            assertEquals(emptySet(), assertNotNull(update(demand(2_000.0))).replacedElsewhere)
        }

        @Test
        fun `nothing is lowered while they are missing`() {
            val targets = lose().targets
            repeat(60) {
                running = targets + (rennes to EndpointCounts(2, 0))
                elapsed += 0.5.seconds
                assertEquals(targets, assertNotNull(update(demand(100.0))).targets)
            }
        }

        @Test
        fun `endpoints that are replaced one by one are no loss`() {
            pass(2.seconds, null)
            pass(60.seconds, demand(400.0))
            val before = running
            running = running + (rennes to EndpointCounts(2, before.getValue(rennes).interruptible - 1))
            elapsed += 0.5.seconds
            assertEquals(before, assertNotNull(update(demand(400.0))).targets)
        }
    }

    @Nested
    inner class `when another instance takes over the duties` {
        private val successor = DemandSizing()

        @Test
        fun `nothing is lowered without a history, and the whole range is ordered`() {
            running = counts(25, 15, 15)
            assertEquals(counts(30, 30, 30), update(demand(100.0, isComplete = false), by = successor)?.targets)
        }

        @Test
        fun `what runs is kept when it knows the demand and that suffices`() {
            running = counts(25, 20, 20)
            assertEquals(running, update(demand(500.0), by = successor)?.targets)
        }

        @Test
        fun `what runs is raised at once when it does not suffice`() {
            running = counts(25, 0, 0)
            val targets = assertNotNull(update(demand(500.0), by = successor)).targets
            assertTrue(targets.values.sumOf { it.interruptible } > 25, "$targets")
        }
    }

    @Nested
    inner class `when orders are refused or the interface for orders is down` {
        @Test
        fun `nothing is lowered while too few run`() {
            running = counts(14, 14, 14)
            val targets = List(80) {
                elapsed += 0.5.seconds
                assertNotNull(update(if (it < 4) null else demand(100.0))).targets
            }
            assertEquals(setOf(counts(30, 30, 30)), targets.toSet())
        }

        @Test
        fun `targets that were raised stay until what runs suffices without them`() {
            pass(2.seconds, null)
            pass(60.seconds, demand(100.0))
            val before = running
            val raised = assertNotNull(update(demand(700.0))).targets
            repeat(80) {
                elapsed += 0.5.seconds
                running = before
                val targets = assertNotNull(update(demand(700.0))).targets
                dataCentres.forEach {
                    assertTrue(targets.getValue(it).interruptible >= raised.getValue(it).interruptible)
                }
            }
        }
    }
}
