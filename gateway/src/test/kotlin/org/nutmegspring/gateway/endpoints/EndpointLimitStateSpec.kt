package org.nutmegspring.gateway.endpoints

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.identity.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class EndpointLimitStateSpec {
    private val clock = TestClock()
    private val limit = EndpointLimit()
    private var wallClock: Duration = 20_000.minutes
    private val turns = InstanceTurns(InstanceId("b"), { listOf(InstanceId("a"), InstanceId("c")) }) { wallClock }

    private fun advance(duration: Duration) {
        clock.advance(duration)
        wallClock += duration
    }

    private fun answer(named: Double?) = limit.recordAnswer(named, clock.now(), clock.now())

    private fun countAdmitted(duration: Duration): Int = (1..(duration / STEP).toInt()).count {
        advance(STEP)
        limit.tryAcquire(turns)
    }

    @Nested
    inner class `while an endpoint names a limit` {
        @Test
        fun `an instance uses its share`() {
            answer(3.0)
            assertTrue(countAdmitted(20.seconds) in 20..22)
        }

        @Test
        fun `a limit that is raised or lowered holds from then on`() {
            answer(3.0)
            countAdmitted(5.seconds)
            answer(30.0)
            assertTrue(countAdmitted(5.seconds) in 50..62)
            answer(0.6)
            assertTrue(countAdmitted(20.seconds) in 3..6)
        }

        @Test
        fun `a limit of zero still lets a request through now and then, whose answer can lift it`() {
            answer(0.0)
            assertTrue(countAdmitted(2.minutes) in 5..15)
        }

        @Test
        fun `an answer to a request from before the limit does not lift it`() {
            val sentAt = clock.now()
            advance(10.milliseconds)
            answer(3.0)
            assertFalse(limit.recordAnswer(null, sentAt, clock.now()))
            assertEquals(3.0, limit.requestsPerSecond)
        }
    }

    @Nested
    inner class `when the limit ends` {
        @Test
        fun `an answer that names none lifts it, and the others are told for a while`() {
            answer(3.0)
            advance(1.seconds)
            assertTrue(answer(null))
            assertEquals(Duration.ZERO, limit.timeUntilTurn(turns))
            assertNotNull(limit.ownEvidenceAge(clock.now()))
            advance(1.minutes)
            assertNull(limit.ownEvidenceAge(clock.now()))
        }

        @Test
        fun `a new process of the endpoint has no limit`() {
            answer(3.0)
            limit.reset()
            assertTrue((1..9).all { limit.tryAcquire(turns) })
        }
    }

    @Nested
    inner class `when another instance reports a limit` {
        @Test
        fun `it holds here as well, unless an answer here is newer`() {
            assertTrue(limit.applyPeerEvidence(3.0, clock.now()))
            advance(1.seconds)
            answer(5.0)
            assertFalse(limit.applyPeerEvidence(null, clock.now() - 1.seconds))
            assertEquals(5.0, limit.requestsPerSecond)
        }

        @Test
        fun `it is not reported again`() {
            limit.applyPeerEvidence(3.0, clock.now())
            assertNull(limit.ownEvidenceAge(clock.now()))
        }
    }

    private companion object {
        val STEP = 10.milliseconds
    }
}
