package org.nutmegspring.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class EngineLoadSpec {
    private val load = EngineLoad()

    @Nested
    inner class `with requests in flight` {
        @Test
        fun `their tokens count as waiting until they are removed`() {
            load.addRequest(1_000)
            load.addRequest(4_000)
            assertEquals(5_000, load.waitingTokens)
            load.removeTokens(4_000)
            assertEquals(1_000, load.waitingTokens)
            assertEquals(2, load.requests)
        }

        @Test
        fun `a report of another instance replaces its previous one`() {
            load.replace(waitingTokens = 700, requests = 3)
            load.replace(waitingTokens = 200, requests = 1)
            assertEquals(200, load.waitingTokens)
            assertEquals(1, load.requests)
        }
    }

    @Nested
    inner class `when more is removed than was added` {
        @Test
        fun `nothing becomes negative`() {
            load.removeTokens(100)
            load.removeRequest()
            assertEquals(0, load.waitingTokens)
            assertEquals(0, load.requests)
        }
    }
}
