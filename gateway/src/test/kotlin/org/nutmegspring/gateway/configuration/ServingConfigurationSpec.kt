package org.nutmegspring.gateway.configuration

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.configurationOf
import org.nutmegspring.gateway.desk
import org.nutmegspring.gateway.routeOf
import org.nutmegspring.gateway.theatre
import org.nutmegspring.identity.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

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
    inner class `given organisations with an urgency of their own` {
        /** Guards against a late request of a route that goes behind an organisation's less urgent ones. */
        @Test
        fun `the priorities of a service leave room for late requests of routes and organisations`() {
            val organisations = listOf(theatre, theatre.copy(urgency = 2))
            val priority = configurationOf(
                routeOf("short", "/a/"),
                organisations = organisations,
            ).dispatchPriority(desk)
            assertTrue(priority.find(1, isLate = true) < priority.find(2, isLate = false))
            assertTrue(priority.find(1, isLate = true) > priority.find(1, isLate = false))
        }

        @Test
        fun `a service without routes has the urgencies as priorities`() {
            assertEquals(4, configuration.dispatchPriority(ServiceId("unknown")).find(4, isLate = true))
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
