package org.nutmegspring.routing

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HashPlacementSpec {
    private val pieces = List(2_000) { Random(3).nextLong() + it }

    private fun placement(slots: Iterable<Int>) = HashPlacement().apply {
        slots.forEach { add(it, HashPlacement.mix(it.toLong())) }
    }

    @Nested
    inner class `when an engine leaves` {
        @Test
        fun `only its pieces move, and they move to their alternative`() {
            val placement = placement(0 until 12)
            val homes = pieces.map { placement.home(it) }
            val alternatives = pieces.map { placement.alternative(it) }
            placement.remove(5)
            pieces.forEachIndexed { index, piece ->
                val expected = if (homes[index] == 5) alternatives[index] else homes[index]
                assertEquals(expected, placement.home(piece))
            }
        }
    }

    @Nested
    inner class `given engines added in another order` {
        @Test
        fun `pieces are assigned alike`() {
            val one = placement(0 until 12)
            val other = placement((0 until 12).reversed())
            assertTrue(pieces.all { one.home(it) == other.home(it) && one.alternative(it) == other.alternative(it) })
        }
    }

    @Nested
    inner class `given many pieces` {
        @Test
        fun `each engine is assigned its share within a half`() {
            val placement = placement(0 until 12)
            val random = Random(4)
            val counts = List(12_000) { placement.home(random.nextLong()) }.groupingBy { it }.eachCount()
            assertTrue(counts.size == 12 && counts.values.all { it in 500..1_500 }, counts.toString())
        }
    }
}
