package org.nutmegspring.restraint

import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

// Guards against requests to an endpoint within the pause that it asked for, and a rush of them just afterwards.
class EndpointPauseSpec {
    private val pause = EndpointPause()

    private fun at(second: Int) = MonotonicTime.ZERO + second.seconds

    private fun canSend(second: Int) = pause.timeUntilRequest(at(second)) == Duration.ZERO

    @Test
    fun `nothing is sent before its end, then one request, and more after its success only`() {
        pause.recordAsked(3.seconds, at(0))
        pause.recordAsked(1.seconds, at(1))
        assertEquals(1.seconds, pause.timeUntilRequest(at(2)))
        assertTrue(canSend(3))
        pause.recordRequest(at(3))
        pause.recordOutcome(isSuccess = true, sentAt = at(0), now = at(4))
        assertFalse(canSend(60))
        pause.recordOutcome(isSuccess = true, sentAt = at(3), now = at(61))
        assertTrue(canSend(61))
        pause.recordRequest(at(61))
        assertTrue(canSend(61))
    }

    @Test
    fun `a failure of that request is followed by another single one`() {
        pause.recordAsked(1.seconds, at(0))
        pause.recordRequest(at(1))
        pause.recordOutcome(isSuccess = false, sentAt = at(1), now = at(2))
        assertFalse(canSend(2))
        pause.recordRequest(at(3))
        assertFalse(canSend(4))
    }

    @Test
    fun `a pause above the maximum counts as the maximum`() {
        pause.recordAsked(Duration.INFINITE, at(0))
        assertEquals(EndpointPause.MAXIMUM_PAUSE, pause.timeUntilRequest(at(0)))
    }
}
