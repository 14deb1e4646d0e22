package org.nutmegspring.usage

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class NumberRangesSpec {
    @Nested
    inner class `given unordered numbers` {
        private val set = NumberRanges().with(listOf(5, 1, 2, 9)).with(listOf(3, 2))

        @Test
        fun `stores them as ranges that neither overlap nor adjoin`() {
            assertEquals(listOf(NumberRange(1, 3), NumberRange(5, 5), NumberRange(9, 9)), set.ranges)
        }

        @Test
        fun `contains exactly the added numbers`() {
            assertEquals(listOf<Long>(1, 2, 3, 5, 9), (0L..10L).filter { it in set })
        }
    }
}
