package org.nutmegspring.gateway.forwarding

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.gateway.configuration.ApiKey
import org.nutmegspring.gateway.configurationOf
import org.nutmegspring.gateway.routeOf
import org.nutmegspring.gateway.theatre
import org.nutmegspring.gateway.wire.RequestFacts
import org.nutmegspring.identity.RequestId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionSpec {
    private val clock = TestClock()
    private val currentConfiguration = CurrentConfiguration { }
    private val admission = Admission(currentConfiguration, clock, Random(1), { false }) {
        AdmissionBounds(maximumEvidenceAge = 4500.milliseconds, maximumPropagationDelay = 1800.milliseconds)
    }

    private fun facts(key: String? = "secret", id: String? = "request-1") =
        RequestFacts(id?.let(::RequestId), 5.seconds, key?.let(::ApiKey), null, null)

    private fun decide(facts: RequestFacts = facts(), path: String = "/a/") =
        admission.decide("host.example", path, facts)

    private fun refusal(facts: RequestFacts = facts(), path: String = "/a/") = decide(facts, path).leftOrNull()

    private fun configured() {
        currentConfiguration.offer(
            configurationOf(routeOf("private", "/a/"), routeOf("open", "/open/", isPublic = true)),
        )
        currentConfiguration.recordAnswer(shown = 1, clock.now())
    }

    @Nested
    inner class `before the first configuration` {
        @Test
        fun `nothing is refused permanently`() {
            assertIs<Refusal.Unavailable>(refusal())
            assertIs<Refusal.Unavailable>(refusal(path = "/unknown/"))
            assertIs<Refusal.Unavailable>(refusal(facts(key = null)))
        }

        @Test
        fun `callers are told to come back after a start, not while it lasts`() {
            assertEquals(1.seconds, assertIs<Refusal.Unavailable>(refusal()).retryAfter)
        }
    }

    @Nested
    inner class `with recent evidence that the configuration is the newest` {
        @Test
        fun `a request with a key belongs to the organisation that holds it`() {
            configured()
            assertEquals(theatre, decide().getOrNull()?.organisation)
        }

        @Test
        fun `a public route needs no key`() {
            configured()
            val admitted = decide(facts(key = null), "/open/")
            assertTrue(admitted.isRight())
            assertNull(admitted.getOrNull()?.organisation)
        }

        @Test
        fun `unknown keys, missing keys and unknown paths are refused permanently`() {
            configured()
            assertIs<Refusal.Unauthenticated>(refusal(facts(key = "other")))
            assertIs<Refusal.Unauthenticated>(refusal(facts(key = null)))
            assertIs<Refusal.NoRoute>(refusal(path = "/unknown/"))
        }

        @Test
        fun `a request without an id is malformed`() {
            configured()
            assertIs<Refusal.Malformed>(refusal(facts(id = null)))
        }
    }

    @Nested
    inner class `while the evidence ages` {
        @Test
        fun `an unknown key or path may belong to a newer configuration`() {
            configured()
            clock.advance(2.seconds)
            assertIs<Refusal.Unavailable>(refusal(facts(key = "other")))
            assertIs<Refusal.Unavailable>(refusal(path = "/unknown/"))
            assertTrue(decide().isRight())
        }

        @Test
        fun `a known key is no longer accepted before the time for revocation has passed`() {
            configured()
            clock.advance(4600.milliseconds)
            assertIs<Refusal.Unavailable>(refusal())
        }

        @Test
        fun `a public route stays available`() {
            configured()
            clock.advance(60.seconds)
            assertTrue(decide(facts(key = null), "/open/").isRight())
        }
    }

    @Nested
    inner class `when an older configuration is offered` {
        @Test
        fun `the newer one stays in force`() {
            currentConfiguration.offer(configurationOf(routeOf("new", "/new/"), version = 7))
            assertFalse(currentConfiguration.offer(configurationOf(routeOf("old", "/old/"), version = 5)))
            assertEquals(7, currentConfiguration.configuration?.version)
        }
    }
}
