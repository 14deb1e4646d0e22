package org.nutmegspring.time

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class MonotonicTimeSpec {
    @Nested
    inner class `given a reading` {
        private val reading = MonotonicTime.ZERO + 5.seconds

        @Test
        fun `subtracting an earlier reading gives the elapsed time`() {
            assertEquals(3.seconds, reading - (MonotonicTime.ZERO + 2.seconds))
        }
    }
}
