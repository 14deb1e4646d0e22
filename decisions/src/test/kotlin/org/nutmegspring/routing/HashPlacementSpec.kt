package org.nutmegspring.routing

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HashPlacementSpec {
    private val pieces = List(2_000) { Random(3).nextLong() + it }

    private fun placementOf(slots: Iterable<Int>) = HashPlacement().apply {
        slots.forEach { add(it, HashPlacement.mix(it.toLong())) }
    }

    @Nested
    inner class `given a removed engine` {
        @Test
        fun `only its pieces are reassigned, each to its secondary engine`() {
            val placement = placementOf(0 until 12)
            val primaries = pieces.map { placement.findPrimary(it) }
            val secondaries = pieces.map { placement.findSecondary(it) }
            placement.remove(5)
            pieces.forEachIndexed { index, piece ->
                val expected = if (primaries[index] == 5) secondaries[index] else primaries[index]
                assertEquals(expected, placement.findPrimary(piece))
            }
        }
    }

    @Nested
    inner class `given engines added in a different order` {
        @Test
        fun `pieces are assigned identically`() {
            val one = placementOf(0 until 12)
            val other = placementOf((0 until 12).reversed())
            assertTrue(
                pieces.all {
                    one.findPrimary(it) == other.findPrimary(it) && one.findSecondary(it) == other.findSecondary(it)
                },
            )
        }
    }

    @Nested
    inner class `given many pieces` {
        @Test
        fun `each engine is assigned between half and one and a half times its share`() {
            val placement = placementOf(0 until 12)
            val random = Random(4)
            val counts = List(12_000) { placement.findPrimary(random.nextLong()) }.groupingBy { it }.eachCount()
            assertTrue(counts.size == 12 && counts.values.all { it in 500..1_500 }, counts.toString())
        }
    }
}
