package org.nutmegspring.execution

import org.junit.jupiter.api.Nested
import org.nutmegspring.configuration.CallPattern
import org.nutmegspring.configuration.Service
import org.nutmegspring.identity.ServiceId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CallRepeatabilitySpec {
    private val service = Service(ServiceId("tags"), notRepeatable = listOf(CallPattern("POST", "/confirm")))

    @Nested
    inner class `given a call that is not repeatable` {
        @Test
        fun `no spelling of its path makes it repeatable`() {
            val spellings = listOf(
                "/confirm",
                "/confirm?x=1",
                "//confirm/7",
                "/%63onfirm",
                "/./confirm",
                "/fares/../confirm",
                "confirm",
            )
            spellings.forEach { assertFalse(isRepeatable(service, "post", it), it) }
        }

        @Test
        fun `other methods and paths stay repeatable`() {
            assertTrue(isRepeatable(service, "GET", "/confirm"))
            assertTrue(isRepeatable(service, "POST", "/fares?next=/confirm"))
            assertTrue(isRepeatable(service, "POST", "/%zz"))
        }
    }
}
