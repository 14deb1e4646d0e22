package org.nutmegspring.execution

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class TokenSequenceSpec {
    private val sequence = TokenSequence()

    @Nested
    inner class `given three delivered tokens` {
        init {
            (1L..3L).forEach { assertEquals(TokenDisposition.DELIVER, sequence.accept(it)) }
        }

        @Test
        fun `tokens repeated by a restarted engine are skipped`() {
            val dispositions = (1L..4L).map { sequence.accept(it) }
            val skipped = List(3) { TokenDisposition.SKIP }
            assertEquals(skipped + TokenDisposition.DELIVER, dispositions)
        }

        @Test
        fun `a token beyond the next position is a gap`() {
            assertEquals(TokenDisposition.GAP, sequence.accept(5))
            assertEquals(3, sequence.delivered)
        }

        @Test
        fun `a token without a position makes the position unknown`() {
            assertEquals(TokenDisposition.DELIVER, sequence.accept(0))
            assertEquals(PartialAnswer(4, positionKnown = false), sequence.partialAnswer)
        }
    }
}
