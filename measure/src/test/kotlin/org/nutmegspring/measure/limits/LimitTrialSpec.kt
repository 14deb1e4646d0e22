package org.nutmegspring.measure.limits

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LimitTrialSpec {
    @Nested
    inner class `given the same requests` {
        private val trials = TrialConditions.entries.associateWith { LimitTrial(SEED, it, 60.seconds).run() }

        @Test
        fun `no window passes the ceiling`() {
            trials.forEach { (conditions, trial) ->
                assertTrue(trial.product.admittedOverAllowed <= 1.0, "$conditions")
            }
        }

        @Test
        fun `fewer requests are refused wrongfully than with equal parts`() {
            trials.forEach { (conditions, trial) ->
                assertTrue(trial.product.wrongfulPercent < trial.equalParts.wrongfulPercent, "$conditions")
            }
        }

        @Test
        fun `an outage of the store refuses fewer than with a central bucket`() {
            val outage = trials.getValue(TrialConditions.OUTAGE)
            assertTrue(outage.product.wrongfulPercent < outage.central.wrongfulPercent)
        }
    }

    private companion object {
        const val SEED = 5L
    }
}
