package org.nutmegspring.node.settings

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class SettingsLoaderSpec {
    private val complete = """
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

    private fun problems(text: String): String =
        SettingsLoader().parse("file.yml", text).fold({ it.joinToString("\n") }, { "none" })

    @Nested
    inner class `given a complete file` {
        @Test
        fun `what it leaves out has its default`() {
            val settings = SettingsLoader().parse("file.yml", complete).getOrNull()
            assertEquals(8_388_608L, settings?.callers?.maximumBodyBytes)
            assertEquals("127.0.0.1:8080", settings?.callers?.address)
        }
    }

    @Nested
    inner class `given a wrong file` {
        @Test
        fun `an unknown setting is named with its line and what was meant`() {
            val text = complete.replace("  address: 127.0.0.1:8080", "  address: 127.0.0.1:8080\n  maximumBodyBites: 5")
            assertContains(problems(text), "file.yml:6: callers.maximumBodyBites")
            assertContains(problems(text), "did you mean 'maximumBodyBytes'?")
        }

        @Test
        fun `a missing setting is named`() {
            assertContains(problems(complete.replace("  id: entry-1\n", "")), "'id' is missing")
        }

        @Test
        fun `an address without a port is named with its line`() {
            val text = complete.replace("127.0.0.1:7080", "platform.example")
            assertContains(problems(text), "file.yml:9: platform.address: 'platform.example' must be an IP number")
        }

        @Test
        fun `a wrong type is named with its line`() {
            val text = complete + "\nlogs:\n  level: loud\n"
            assertContains(problems(text), "file.yml:11: logs.level")
        }
    }
}
