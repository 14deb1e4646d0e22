package org.nutmegspring.membership

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

class AddressSelectionSpec {
    private val rennes = DataCentreId("rennes")
    private val brest = DataCentreId("brest")

    private fun member(
        name: String,
        dataCentre: DataCentreId,
        load: Double = 0.2,
        phase: InstancePhase = InstancePhase.READY,
    ) = MemberState(
        InstanceId(name),
        Incarnation(1),
        dataCentre,
        "127.0.0.1:1",
        "127.0.0.1:2",
        phase,
        load,
        Revision(1),
        Duration.ZERO,
        null,
    )

    private fun answers(members: List<MemberState>): List<List<InstanceId>> =
        (0 until 1000).map { seed -> selectAddresses(members, rennes, Random(seed)).map { it.id } }

    @Nested
    inner class `given instances of two data centres` {
        private val members =
            List(4) { member("r$it", rennes) } + List(3) { member("b$it", brest) }

        @Test
        fun `each selection has three distinct instances, at least one in the other data centre`() {
            answers(members).forEach { answer ->
                assertEquals(3, answer.distinct().size)
                assertTrue(answer.any { it.value.startsWith("b") })
            }
        }

        @Test
        fun `the first address is usually local and evenly distributed over the local instances`() {
            val first = answers(members).map { it.first().value }.groupingBy { it }.eachCount()
            assertTrue(first.filterKeys { it.startsWith("r") }.values.sum() > 850, "$first")
            assertTrue((0..3).all { first.getValue("r$it") in 150..350 }, "$first")
        }
    }

    @Nested
    inner class `given instances to avoid` {
        @Test
        fun `joining and draining instances are never selected`() {
            val members = listOf(
                member("ready", rennes),
                member("joining", rennes, phase = InstancePhase.JOINING),
                member("draining", brest, phase = InstancePhase.DRAINING),
            )
            assertTrue(answers(members).all { it == listOf(InstanceId("ready")) })
        }

        @Test
        fun `an instance without free capacity is rarely selected first`() {
            val members = listOf(member("full", rennes, load = 1.5)) + List(3) { member("r$it", rennes) }
            assertTrue(answers(members).count { it.first() == InstanceId("full") } < 50)
        }
    }
}
