package org.nutmegspring.gateway.settings

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class GatewaySettingsLoaderSpec {
    private val valid = """
        instance: { id: "entry-1", dataCentre: "rennes" }
        addresses:
          callers: "10.0.0.1:1"
          readiness: "10.0.0.1:2"
          directory: "10.0.0.1:3"
          exchange: "10.0.0.1:4"
          metrics: "10.0.0.1:5"
        platform: { store: "10.0.0.9:1", duties: "10.0.0.9:2" }
        bounds:
          strictRevocation: true
          revocationMilliseconds: 5000
          configurationMilliseconds: 2000
          departureMilliseconds: 2000
          stopSeconds: 8
          retryRatio: 0.2
          retryExtra: 52
          retryWindowSeconds: 10
          quotaWindowSeconds: 8
          leaseMilliseconds: 3000
          usageWindowSeconds: 5
          usageReportSeconds: 10
          addressKeepSeconds: 5
    """.trimIndent()

    private fun problems(text: String) =
        GatewaySettingsLoader().parse("gateway.yml", text).leftOrNull().orEmpty().map { it.toString() }

    @Nested
    inner class `given valid settings` {
        @Test
        fun `parsing returns their values`() {
            val settings = GatewaySettingsLoader().parse("gateway.yml", valid).getOrNull()
            assertEquals("entry-1", settings?.instance?.id?.value)
            assertEquals(52.0, settings?.bounds?.retryExtra)
        }
    }

    @Nested
    inner class `given a file that is read while it is being written` {
        @Test
        fun `every beginning of it is reported as a problem`() {
            val lengths = 0 until valid.length - "addressKeepSeconds: 5".length
            lengths.forEach { length -> assertTrue(problems(valid.take(length)).isNotEmpty(), "length $length") }
        }

        @Test
        fun `all sections that are missing are reported by name`() {
            val found = problems(valid.substringBefore("addresses:")).single()
            assertTrue(listOf("addresses", "platform", "bounds").all { it in found }, found)
        }
    }

    @Nested
    inner class `given invalid settings` {
        @Test
        fun `an unknown key is reported with the most similar known key`() {
            val found = problems(valid.replace("retryRatio", "retryRation")).single()
            assertTrue("retryRatio" in found && "retryRation" in found, found)
        }

        @Test
        fun `a missing key is reported by name`() {
            val found = problems(valid.replace(Regex("  leaseMilliseconds.*\n"), "")).single()
            assertTrue("leaseMilliseconds" in found, found)
        }

        @Test
        fun `invalid addresses and numbers are all reported together`() {
            val found = problems(valid.replace("10.0.0.1:3", "nowhere").replace("stopSeconds: 8", "stopSeconds: 0"))
            assertEquals(2, found.size, "$found")
            assertTrue(found.any { "addresses.directory" in it } && found.any { "bounds.stopSeconds" in it }, "$found")
        }
    }
}
