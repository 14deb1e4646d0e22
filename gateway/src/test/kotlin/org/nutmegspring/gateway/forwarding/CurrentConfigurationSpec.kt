package org.nutmegspring.gateway.forwarding

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.gateway.configurationOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CurrentConfigurationSpec {
    private val clock = TestClock()
    private val current = CurrentConfiguration { }
    private val held = configurationOf()

    init {
        current.offer(held)
        current.recordAnswer(held.version, clock.now())
    }

    @Nested
    inner class `when the store has returned from an older copy` {
        @Test
        fun `an answer that shows an older version is no evidence`() {
            clock.advance(2.seconds)
            current.recordAnswer(held.version - 1, clock.now())
            current.recordAnswer(null, clock.now())
            assertEquals(2.seconds, current.evidenceAge(clock))
        }

        @Test
        fun `an answer that shows the known version again is evidence`() {
            clock.advance(2.seconds)
            current.recordAnswer(held.version, clock.now())
            assertEquals(Duration.ZERO, current.evidenceAge(clock))
        }
    }

    @Nested
    inner class `when another instance reports a newer version` {
        @Test
        fun `the evidence ends when the store goes on to show the older one`() {
            current.recordReported(held.version + 1, clock.now())
            clock.advance(400.milliseconds)
            current.recordAnswer(held.version, clock.now())
            assertEquals(400.milliseconds, current.evidenceAge(clock))
            clock.advance(200.milliseconds)
            current.recordAnswer(held.version, clock.now())
            assertNull(current.evidenceAge(clock))
        }

        @Test
        fun `the evidence only ages while the store does not answer`() {
            current.recordReported(held.version + 1, clock.now())
            clock.advance(2.seconds)
            current.recordReported(held.version + 1, clock.now())
            assertEquals(2.seconds, current.evidenceAge(clock))
        }

        @Test
        fun `the evidence returns with the version`() {
            current.recordReported(held.version + 1, clock.now())
            clock.advance(1.seconds)
            current.offer(configurationOf(version = held.version + 1))
            current.recordAnswer(held.version + 1, clock.now())
            current.recordReported(held.version + 1, clock.now())
            assertEquals(Duration.ZERO, current.evidenceAge(clock))
        }
    }
}
