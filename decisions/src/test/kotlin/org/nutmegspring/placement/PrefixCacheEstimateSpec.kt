package org.nutmegspring.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixCacheEstimateSpec {
    private val estimate = PrefixCacheEstimate(capacityTokens = 1_000)

    private fun chain(vararg parts: Pair<Long, Int>) =
        buildPromptChain("m", parts.map { it.first }, parts.map { it.second })

    @Nested
    inner class `after a prefill` {
        @Test
        fun `the parts up to the first that differs are cached`() {
            estimate.recordPrefill(chain(1L to 300, 2L to 200))
            assertEquals(300, estimate.countCachedTokens(chain(1L to 300, 3L to 100)))
            assertEquals(500, estimate.countCachedTokens(chain(1L to 300, 2L to 200, 4L to 50)))
            assertEquals(0, estimate.countCachedTokens(chain(2L to 200)))
        }

        @Test
        fun `a part after a different prefix is not cached`() {
            estimate.recordPrefill(chain(1L to 300, 2L to 200))
            assertEquals(0, estimate.countCachedTokens(chain(5L to 300, 2L to 200)))
        }
    }

    @Nested
    inner class `when the cache capacity is reached` {
        @Test
        fun `the least recently used part is evicted first`() {
            estimate.recordPrefill(chain(1L to 400))
            estimate.recordPrefill(chain(2L to 400))
            estimate.countCachedTokens(chain(1L to 400))
            estimate.recordPrefill(chain(1L to 400))
            estimate.recordPrefill(chain(3L to 400))
            assertEquals(400, estimate.countCachedTokens(chain(1L to 400)))
            assertEquals(0, estimate.countCachedTokens(chain(2L to 400)))
        }
    }

    @Nested
    inner class `after a restart of the engine` {
        @Test
        fun `nothing is cached`() {
            estimate.recordPrefill(chain(1L to 300))
            estimate.clear()
            assertEquals(0, estimate.countCachedTokens(chain(1L to 300)))
        }
    }
}
