package org.nutmegspring.node.settings

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class SettingsLoaderSpec {
    private val completeFile = """
        instance:
          id: entry-1
          dataCentre: rennes
        callers:
          address: 127.0.0.1:8080
        inner:
          address: 127.0.0.1:9080
        platform:
          address: 127.0.0.1:7080
    """.trimIndent()

    private fun findProblems(text: String): String =
        SettingsLoader().parse("file.yml", text).fold({ it.joinToString("\n") }, { "none" })

    @Nested
    inner class `given a complete file` {
        @Test
        fun `settings that the file omits have their defaults`() {
            val settings = SettingsLoader().parse("file.yml", completeFile).getOrNull()
            assertEquals(8_388_608L, settings?.callers?.maximumBodyBytes)
            assertEquals("127.0.0.1:8080", settings?.callers?.address)
        }
    }

    @Nested
    inner class `given an invalid file` {
        @Test
        fun `an unknown setting is reported with its line and the nearest known name`() {
            val text = completeFile.replace(
                "  address: 127.0.0.1:8080",
                "  address: 127.0.0.1:8080\n  maximumBodyBites: 5",
            )
            assertContains(findProblems(text), "file.yml:6: callers.maximumBodyBites")
            assertContains(findProblems(text), "did you mean 'maximumBodyBytes'?")
        }

        @Test
        fun `a missing setting is reported`() {
            assertContains(findProblems(completeFile.replace("  id: entry-1\n", "")), "'id' is missing")
        }

        @Test
        fun `an address without a port is reported with its line`() {
            val text = completeFile.replace("127.0.0.1:7080", "platform.example")
            assertContains(findProblems(text), "file.yml:9: platform.address: 'platform.example' must be an IP address")
        }

        @Test
        fun `a value of the wrong type is reported with its line`() {
            val text = completeFile + "\nlogs:\n  level: loud\n"
            assertContains(findProblems(text), "file.yml:11: logs.level")
        }
    }
}
