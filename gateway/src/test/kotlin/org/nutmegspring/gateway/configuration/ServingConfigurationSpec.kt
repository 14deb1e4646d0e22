package org.nutmegspring.gateway.configuration

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.configurationOf
import org.nutmegspring.gateway.routeOf
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ServingConfigurationSpec {
    private val configuration = configurationOf(
        routeOf("short", "/a/"),
        routeOf("long", "/a/b/"),
        routeOf("other", "/a/", host = "other.example"),
    )

    @Nested
    inner class `when a path matches several prefixes` {
        @Test
        fun `the longest one wins`() {
            assertEquals("long", configuration.route("host.example", "/a/b/c")?.name)
            assertEquals("short", configuration.route("host.example", "/a/bc")?.name)
            assertEquals("other", configuration.route("other.example", "/a/b/c")?.name)
        }
    }

    @Nested
    inner class `when no prefix matches` {
        @Test
        fun `there is no route`() {
            assertNull(configuration.route("host.example", "/b/"))
            assertNull(configuration.route("host.example", "/a"))
            assertNull(configuration.route("unknown.example", "/a/"))
            assertNull(configuration.route("host.example", "no-slash"))
        }
    }
}
