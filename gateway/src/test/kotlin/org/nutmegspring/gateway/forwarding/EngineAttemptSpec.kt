package org.nutmegspring.gateway.forwarding

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.gateway.endpointOf
import org.nutmegspring.gateway.endpoints.EndpointState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EngineAttemptSpec {
    private val clock = TestClock()
    private val engine = EndpointState(endpointOf("e"), 1_000)

    private fun attempt() = EngineAttempt(clock, engine, 100.milliseconds, uncachedTokens = 500)

    @Nested
    inner class `while the engine answers no requests` {
        @Test
        fun `it is abandoned after a few times the expected time`() {
            val attempt = attempt()
            clock.advance(2.seconds)
            assertEquals(Duration.ZERO, attempt.remainingWait())
        }
    }

    @Nested
    inner class `while the engine keeps answering other requests` {
        @Test
        fun `the wait continues, however long its queue is`() {
            val waiting = attempt()
            repeat(20) {
                val other = attempt()
                clock.advance(200.milliseconds)
                other.recordFirstOutput()
                other.recordEnd()
            }
            assertTrue(waiting.remainingWait() > Duration.ZERO)
        }
    }

    @Nested
    inner class `when the first output arrives` {
        @Test
        fun `its tokens leave the queue, and the request counts until it ends`() {
            val attempt = attempt()
            assertEquals(500, engine.ownLoad.waitingTokens)
            attempt.recordFirstOutput()
            assertEquals(0, engine.ownLoad.waitingTokens)
            assertEquals(1, engine.ownLoad.requests)
            attempt.recordEnd()
            assertEquals(0, engine.ownLoad.requests)
        }
    }
}
