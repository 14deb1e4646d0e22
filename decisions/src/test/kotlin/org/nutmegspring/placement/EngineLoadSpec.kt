package org.nutmegspring.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class EngineLoadSpec {
    private val load = EngineLoad()

    @Nested
    inner class `while requests wait` {
        @Test
        fun `their tokens are ahead of the next one until they are read`() {
            load.sent(1_000, urgency = 0)
            load.sent(4_000, urgency = 2)
            assertEquals(5_000, load.ahead())
            load.read(4_000, urgency = 2)
            assertEquals(1_000, load.ahead())
            assertEquals(2, load.requests)
        }

        @Test
        fun `an urgency beyond the last level counts as the last`() {
            load.sent(10, urgency = 9)
            assertEquals(listOf(0L, 0L, 0L, 10L), load.waiting())
        }
    }

    @Nested
    inner class `when more is taken off than was there` {
        @Test
        fun `nothing becomes negative`() {
            load.read(100, urgency = 0)
            load.ended()
            assertEquals(0, load.ahead())
            assertEquals(0, load.requests)
        }
    }
}
