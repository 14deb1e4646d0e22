package org.nutmegspring.gateway.endpoints

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.gateway.desk
import org.nutmegspring.gateway.endpointOf
import org.nutmegspring.gateway.singleInstance
import org.nutmegspring.gateway.store.FeedEntry
import org.nutmegspring.gateway.store.FeedEvent
import org.nutmegspring.gateway.store.FeedPosition
import org.nutmegspring.gateway.store.Listing
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.placement.buildPromptChain
import org.nutmegspring.platform.ListedState
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class EndpointTableSpec {
    private val clock = TestClock()
    private val changes = mutableListOf<Pair<String, EndpointChange>>()
    private val table = EndpointTable({ 1_000 }, singleInstance) { endpoint, change ->
        changes +=
            endpoint.id.value to change
    }

    private fun listing(vararg endpoints: ServingEndpoint) =
        Listing(endpoints.map { FeedEntry(it.id.value, it) }, position = FeedPosition(1))

    private fun usable() = table.findUsable(desk, clock.now()).map { it.endpoint.id.value }

    private fun changed(endpoint: ServingEndpoint) =
        table.applyChange(FeedEvent.Changed(FeedEntry(endpoint.id.value, endpoint)), null, clock.now())

    @Nested
    inner class `when the store lists endpoints` {
        @Test
        fun `departing endpoints get no work`() {
            table.replace(listing(endpointOf("a"), endpointOf("b", ListedState.DEPARTING)), null, clock.now())
            assertEquals(listOf("a"), usable())
            changed(endpointOf("a", ListedState.DEPARTING))
            assertEquals(emptyList(), usable())
            assertEquals("a" to EndpointChange.DEPARTING, changes.last())
        }

        @Test
        fun `an endpoint whose entry is removed gets no further work`() {
            table.replace(listing(endpointOf("a"), endpointOf("b")), null, clock.now())
            table.applyChange(FeedEvent.Removed("a"), null, clock.now())
            assertEquals(listOf("b"), usable())
        }

        @Test
        fun `an unreadable entry does not remove its endpoint`() {
            table.replace(listing(endpointOf("a")), null, clock.now())
            table.applyChange(FeedEvent.Changed(FeedEntry("a", null)), null, clock.now())
            table.replace(Listing(listOf(FeedEntry("a", null)), FeedPosition(2)), null, clock.now())
            assertEquals(listOf("a"), usable())
        }
    }

    @Nested
    inner class `after an outage of the store` {
        @Test
        fun `a missing endpoint is used for about two seconds, then removed unless listed again`() {
            table.replace(listing(endpointOf("a"), endpointOf("b")), null, clock.now())
            clock.advance(10.seconds)
            val regainedAt = clock.now()
            table.replace(listing(), regainedAt, clock.now())
            assertEquals(listOf("a", "b"), usable())
            clock.advance(1.seconds)
            changed(endpointOf("b"))
            clock.advance(1.seconds)
            table.removeLapsed(clock.now())
            assertEquals(listOf("b"), usable())
            assertTrue("a" to EndpointChange.GONE in changes)
        }

        @Test
        fun `a removal reported later takes effect at once`() {
            table.replace(listing(endpointOf("a")), null, clock.now())
            val regainedAt = clock.now()
            clock.advance(3.seconds)
            table.applyChange(FeedEvent.Removed("a"), regainedAt, clock.now())
            assertEquals(emptyList(), usable())
        }
    }

    @Nested
    inner class `when an endpoint fails repeatedly` {
        @Test
        fun `it is excluded while there are others, and used if there are none`() {
            table.replace(listing(endpointOf("a"), endpointOf("b")), null, clock.now())
            val failing = checkNotNull(table.findState(EndpointId("a")))
            repeat(2) { failing.health.recordFailure(clock.now()) }
            assertEquals(listOf("b"), usable())
            table.applyChange(FeedEvent.Removed("b"), null, clock.now())
            assertEquals(listOf("a"), usable())
        }
    }

    @Nested
    inner class `when another endpoint answers at the address` {
        @Test
        fun `the entry is not used until it changes`() {
            table.replace(listing(endpointOf("a")), null, clock.now())
            checkNotNull(table.findState(EndpointId("a"))).isMisdirected = true
            assertEquals(emptyList(), usable())
            changed(endpointOf("a", bornAt = 2))
            assertEquals(listOf("a"), usable())
        }
    }

    @Nested
    inner class `when an endpoint restarts under the same id` {
        @Test
        fun `its prefix cache is assumed to be empty`() {
            val chain = buildPromptChain("m", listOf(1L), listOf(500))
            table.replace(listing(endpointOf("a")), null, clock.now())
            val state = checkNotNull(table.findState(EndpointId("a")))
            state.recordPrefill(chain)
            assertEquals(500, state.toEngineCandidate(chain, clock.now()).cachedTokens)
            changed(endpointOf("a", bornAt = 2))
            assertEquals(0, state.toEngineCandidate(chain, clock.now()).cachedTokens)
        }
    }

    @Nested
    inner class `when the store has returned from an older copy` {
        private val ready = endpointOf("a", sequence = 4)

        private fun list(vararg endpoints: ServingEndpoint, regainedAt: MonotonicTime? = null) =
            table.replace(listing(*endpoints), regainedAt, clock.now())

        @Test
        fun `an endpoint that was departing gets no work, though the copy shows it as ready`() {
            list(ready)
            changed(endpointOf("a", ListedState.DEPARTING, sequence = 6))
            list(ready, regainedAt = clock.now())
            assertEquals(emptyList(), usable())
            assertEquals("a" to EndpointChange.OUTDATED, changes.last())
        }

        @Test
        fun `an endpoint that had left gets no work, though the copy has its entry`() {
            list(ready)
            table.applyChange(FeedEvent.Removed("a"), null, clock.now())
            list(ready, regainedAt = clock.now())
            assertEquals(emptyList(), usable())
        }

        @Test
        fun `an endpoint that had left is used again once it has written a newer entry, or is a new process`() {
            list(ready, endpointOf("b", sequence = 9))
            list()
            changed(endpointOf("a", sequence = 5))
            changed(endpointOf("b", sequence = 1, bornAt = 2))
            assertEquals(listOf("a", "b"), usable())
        }

        @Test
        fun `an endpoint that registered lately is used until it has had time to register again`() {
            list(ready)
            list(regainedAt = clock.now())
            assertEquals(listOf("a"), usable())
            changed(ready)
            clock.advance(10.seconds)
            table.removeLapsed(clock.now())
            assertEquals(listOf("a"), usable())
        }
    }
}
