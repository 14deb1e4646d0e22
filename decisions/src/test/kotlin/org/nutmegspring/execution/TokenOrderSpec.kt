package org.nutmegspring.execution

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class TokenOrderSpec {
    private val order = TokenOrder()

    @Nested
    inner class `given three delivered tokens` {
        init {
            (1L..3L).forEach { assertEquals(TokenVerdict.DELIVER, order.judge(it)) }
        }

        @Test
        fun `an engine that begins again has its first tokens skipped`() {
            val verdicts = (1L..4L).map { order.judge(it) }
            val skipped = List(3) { TokenVerdict.SKIP }
            assertEquals(skipped + TokenVerdict.DELIVER, verdicts)
        }

        @Test
        fun `a token beyond the next is a gap`() {
            assertEquals(TokenVerdict.GAP, order.judge(5))
            assertEquals(3, order.delivered)
        }

        @Test
        fun `a token without a position makes the position unknown`() {
            assertEquals(TokenVerdict.DELIVER, order.judge(0))
            assertEquals(PartialAnswer(4, positionKnown = false), order.partial)
        }
    }
}
