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

class EngineTicketSpec {
    private val clock = TestClock()
    private val engine = EndpointState(endpointOf("e"), 1_000)

    private fun ticket() = EngineTicket(clock, engine, 100.milliseconds, unreadTokens = 500)

    @Nested
    inner class `while the engine answers nobody` {
        @Test
        fun `it is given up after a few times the expected time`() {
            val ticket = ticket()
            clock.pass(2.seconds)
            assertEquals(Duration.ZERO, ticket.patience())
        }
    }

    @Nested
    inner class `while the engine goes on answering others` {
        @Test
        fun `it is waited for, however long its queue is`() {
            val waiting = ticket()
            repeat(20) {
                val other = ticket()
                clock.pass(200.milliseconds)
                other.firstOutput()
                other.ended()
            }
            assertTrue(waiting.patience() > Duration.ZERO)
        }
    }

    @Nested
    inner class `when the prompt is read` {
        @Test
        fun `its tokens no longer wait, and the request counts until it ends`() {
            val ticket = ticket()
            assertEquals(500, engine.own.waitingTokens)
            ticket.firstOutput()
            assertEquals(0, engine.own.waitingTokens)
            assertEquals(1, engine.own.requests)
            ticket.ended()
            assertEquals(0, engine.own.requests)
        }
    }
}
