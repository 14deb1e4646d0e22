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
        fun `the route with the longest prefix of the host is found`() {
            assertEquals("long", configuration.findRoute("host.example", "/a/b/c")?.name)
            assertEquals("short", configuration.findRoute("host.example", "/a/bc")?.name)
            assertEquals("other", configuration.findRoute("other.example", "/a/b/c")?.name)
        }
    }

    @Nested
    inner class `when no route matches the host and path` {
        @Test
        fun `no route is found`() {
            assertNull(configuration.findRoute("host.example", "/b/"))
            assertNull(configuration.findRoute("host.example", "/a"))
            assertNull(configuration.findRoute("unknown.example", "/a/"))
            assertNull(configuration.findRoute("host.example", "no-slash"))
        }
    }
}
