package org.nutmegspring.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixCacheBeliefSpec {
    private val belief = PrefixCacheBelief(capacityTokens = 1_000)

    private fun chain(vararg parts: Pair<Long, Int>) = promptChain("m", parts.map { it.first }, parts.map { it.second })

    @Nested
    inner class `after a prompt was read` {
        @Test
        fun `its parts are held from the start up to the first that differs`() {
            belief.read(chain(1L to 300, 2L to 200))
            assertEquals(300, belief.heldTokens(chain(1L to 300, 3L to 100)))
            assertEquals(500, belief.heldTokens(chain(1L to 300, 2L to 200, 4L to 50)))
            assertEquals(0, belief.heldTokens(chain(2L to 200)))
        }

        @Test
        fun `a part behind another beginning is a different one`() {
            belief.read(chain(1L to 300, 2L to 200))
            assertEquals(0, belief.heldTokens(chain(5L to 300, 2L to 200)))
        }
    }

    @Nested
    inner class `when the memory is full` {
        @Test
        fun `the part used least recently goes first`() {
            belief.read(chain(1L to 400))
            belief.read(chain(2L to 400))
            belief.heldTokens(chain(1L to 400))
            belief.read(chain(1L to 400))
            belief.read(chain(3L to 400))
            assertEquals(400, belief.heldTokens(chain(1L to 400)))
            assertEquals(0, belief.heldTokens(chain(2L to 400)))
        }
    }

    @Nested
    inner class `after the engine started anew` {
        @Test
        fun `nothing is held`() {
            belief.read(chain(1L to 300))
            belief.clear()
            assertEquals(0, belief.heldTokens(chain(1L to 300)))
        }
    }
}
