package org.nutmegspring.commandline

import org.junit.jupiter.api.Nested
import sun.misc.Signal
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration

class ProcessSignalsSpec {
    private val signals = ProcessSignals()

    private fun receive(vararg names: String) = names.forEach { signals.handle(Signal(it)) }

    private fun take(): SignalRequest? = signals.await(Duration.ZERO)

    @Nested
    inner class `given signals before anything waits for them` {
        @Test
        fun `SIGTERM and SIGINT ask for one stop`() {
            receive("TERM", "INT", "TERM")
            assertTrue(signals.isStopRequested)
            assertEquals(SignalRequest.STOP, take())
            assertNull(take())
        }

        @Test
        fun `SIGHUP asks for one more reading and not for a stop`() {
            receive("HUP", "HUP")
            assertFalse(signals.isStopRequested)
            assertEquals(SignalRequest.RELOAD, take())
            assertNull(take())
        }

        @Test
        fun `a stop comes before a reading that was asked for earlier`() {
            receive("HUP", "TERM")
            assertTrue(signals.isStopRequested)
            assertEquals(SignalRequest.STOP, take())
            assertEquals(SignalRequest.RELOAD, take())
        }
    }

    @Nested
    inner class `given a request that was taken` {
        @Test
        fun `the same signal asks again`() {
            receive("HUP")
            take()
            receive("HUP")
            assertEquals(SignalRequest.RELOAD, take())
        }
    }
}
