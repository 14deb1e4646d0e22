package org.nutmegspring.membership

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.DataCentreId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CallerPlacementSpec {
    private val dataCentres = List(6) { DataCentreId("dc$it") }

    private fun fleet(size: Int) = List(size) { CallerTarget("10.0.${it % 6}.$it:80", dataCentres[it % 6]) }

    private fun List<CallerTarget>.of(addresses: List<String>) = filter { it.address in addresses }

    @Nested
    inner class `given 92 instances in six data centres` {
        private val ready = fleet(92)

        @Test
        fun `callers are sent to all instances of their data centre and to no other`() {
            for (dataCentre in dataCentres) {
                val chosen = CallerPlacement.choose(ready, dataCentre, limit = 64)
                assertEquals(ready.filter { it.dataCentre == dataCentre }.map { it.address }.toSet(), chosen.toSet())
            }
        }

        @Test
        fun `callers of a data centre that has lost its instances are spread over the others`() {
            val left = ready.filter { it.dataCentre != dataCentres[0] }
            val chosen = left.of(CallerPlacement.choose(left, dataCentres[0], limit = 64))
            assertEquals(64, chosen.size)
            assertEquals(5, chosen.map { it.dataCentre }.distinct().size)
        }

        @Test
        fun `a few that are left get help, so that none has much more than its share`() {
            val left =
                ready.filter { it.dataCentre != dataCentres[0] } + ready.first { it.dataCentre == dataCentres[0] }
            val chosen = CallerPlacement.choose(left, dataCentres[0], limit = 64)
            assertTrue(chosen.size >= left.size / 6, "${chosen.size}")
        }

        @Test
        fun `the order in which instances are known makes no difference`() {
            val shuffled = ready.shuffled(Random(1))
            assertEquals(
                CallerPlacement.choose(ready, dataCentres[1], 8),
                CallerPlacement.choose(shuffled, dataCentres[1], 8),
            )
        }
    }

    @Nested
    inner class `given more instances than an answer may name` {
        @Test
        fun `callers whose data centre is not known are spread over all data centres`() {
            val chosen = fleet(781).let { all -> all.of(CallerPlacement.choose(all, null, limit = 64)) }
            assertEquals(64, chosen.size)
            assertEquals(6, chosen.map { it.dataCentre }.distinct().size)
        }

        @Test
        fun `callers of different data centres are sent to different instances`() {
            val all = fleet(781)
            val chosen = dataCentres.flatMap { CallerPlacement.choose(all, it, limit = 64) }
            assertEquals(6 * 64, chosen.distinct().size)
        }
    }
}
