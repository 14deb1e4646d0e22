package org.nutmegspring.gateway.endpoints

import org.junit.jupiter.api.Nested
import org.nutmegspring.gateway.TestClock
import org.nutmegspring.gateway.endpointOf
import org.nutmegspring.gateway.forwarding.EndpointLimits
import org.nutmegspring.gateway.store.FeedEntry
import org.nutmegspring.gateway.store.FeedEvent
import org.nutmegspring.gateway.store.FeedPosition
import org.nutmegspring.gateway.store.Listing
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.limits.COLD_SLOWDOWN
import org.nutmegspring.limits.ColdPolicy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class ColdEndpointsSpec {
    private val clock = TestClock()
    private var policy: ColdPolicy? = ColdPolicy(3.seconds, requestsPerSecond = 9.1, overage = 1.5, slack = 5.0)
    private var isFleetKnown = true
    private val cold = ColdEndpoints(clock, clock, { policy }) { isFleetKnown }
    private val turns = InstanceTurns(InstanceId("a"), { emptyList() }) { wallClock + (clock.now() - START) }
    private var wallClock = 20_000.minutes
    private val table = EndpointTable({ 1_000 }, turns, cold = cold) { _, _ -> }
    private val endpoint = endpointOf("e", sequence = 1).copy(bornAt = 1)
    private val state: EndpointState get() = checkNotNull(table.findState(EndpointId("e")))

    private fun list(vararg endpoints: ServingEndpoint, isRegained: Boolean = false) {
        val entries = endpoints.map { FeedEntry(it.id.value, it) }
        table.replace(Listing(entries, FeedPosition(1)), clock.now().takeIf { isRegained }, clock.now())
    }

    private fun change(changed: ServingEndpoint) =
        table.applyChange(FeedEvent.Changed(FeedEntry(changed.id.value, changed)), null, clock.now())

    private fun serve() = table.tryAcquire(EndpointId("other"))

    private fun isCold() = cold.findAllowance(state) != null

    /** Whether more requests are admitted at once than turns can be open. */
    private fun isUnlimited() = (1..20).all { table.tryAcquire(endpoint.id) }

    @Nested
    inner class `when the deployment starts` {
        @Test
        fun `endpoints that appear one by one before the first request are not limited`() {
            list()
            change(endpoint)
            assertTrue(isUnlimited())
        }

        @Test
        fun `endpoints that an instance finds when it starts are as cold as their entries say`() {
            serve()
            list(endpoint, endpointOf("f", sequence = 1).copy(remainingColdTime = 2.seconds))
            assertFalse(isCold())
            assertNotNull(cold.findAllowance(checkNotNull(table.findState(EndpointId("f")))))
        }
    }

    @Nested
    inner class `when requests are served` {
        @Test
        fun `a new endpoint, a new process and an entry that returns after an outage may be cold`() {
            list()
            serve()
            change(endpoint)
            assertTrue(isCold())
            clock.advance(3.seconds)
            assertFalse(isCold())
            change(endpoint.copy(bornAt = 2, sequence = 1))
            assertTrue(isCold())
            clock.advance(3.seconds)
            list(isRegained = true)
            assertFalse(isCold())
            change(endpoint.copy(bornAt = 2, sequence = 1))
            assertTrue(isCold())
        }

        @Test
        fun `an entry that is listed again does not make its endpoint cold again`() {
            val entry = endpoint.copy(remainingColdTime = 3.seconds)
            list(entry)
            clock.advance(3.seconds)
            list(entry)
            assertFalse(isCold())
        }

        @Test
        fun `an endpoint that failed twice may be cold when it answers again, until its answer says otherwise`() {
            list(endpoint)
            state.recordUnanswered(clock.now())
            assertFalse(isCold())
            state.recordUnanswered(clock.now())
            clock.advance(10.seconds)
            assertTrue(isCold())
            cold.recordAnswer(state, null, clock.now())
            assertTrue(isCold())
            cold.recordAnswer(state, Duration.ZERO, clock.now())
            assertFalse(isCold())
        }
    }

    @Nested
    inner class `when an endpoint is cold` {
        @Test
        fun `it is limited, slow for the placement and not usable without a turn`() {
            list(endpoint.copy(remainingColdTime = 3.seconds))
            assertFalse(isUnlimited())
            assertEquals(emptyList(), table.findUsable(endpoint.service, clock.now()))
            assertTrue(checkNotNull(table.timeUntilTurn(endpoint.service, clock.now())) < 1.seconds)
            assertEquals(COLD_SLOWDOWN, state.toServiceCandidate(clock.now()).slowdown)
            assertFalse(table.tryContact(endpoint.id))
        }

        @Test
        fun `an instance that does not know the others sends nothing and tells when the cold time ends`() {
            isFleetKnown = false
            list(endpoint.copy(remainingColdTime = 2.seconds))
            assertEquals(2.seconds, table.timeUntilTurn(endpoint.service, clock.now()))
            clock.advance(2.seconds)
            assertTrue(isUnlimited())
        }

        @Test
        fun `nothing changes where the operators state no rate`() {
            policy = null
            list(endpoint.copy(remainingColdTime = 3.seconds))
            assertTrue(isUnlimited())
            assertTrue(table.tryContact(endpoint.id))
        }

        @Test
        fun `the smaller of its own limit and that for cold endpoints is in force`() {
            list(endpoint.copy(remainingColdTime = 3.seconds))
            state.limit.recordAnswer(30.0, clock.now(), clock.now())
            clock.advance(2.seconds)
            assertTrue((1..20).count { table.tryAcquire(endpoint.id) } in 5..9)
            state.limit.recordAnswer(1.0, clock.now(), clock.now())
            clock.advance(1.seconds / 2)
            assertTrue((1..20).count { table.tryAcquire(endpoint.id) } <= 1)
        }
    }

    @Nested
    inner class `when the wall clock is set back` {
        @Test
        fun `turns are not given out a second time with each request`() {
            list(endpoint.copy(remainingColdTime = 60.seconds))
            clock.advance(2.seconds)
            wallClock -= 10.seconds
            assertTrue((1..100).count { table.tryAcquire(endpoint.id) } <= 9)
        }
    }

    @Nested
    inner class `when another instance is told` {
        private val limits = EndpointLimits(table, clock, cold) { }
        private val other = ColdEndpoints(clock, clock, { policy }) { true }
        private val otherTable = EndpointTable({ 1_000 }, turns, cold = other) { _, _ -> }
        private val otherLimits = EndpointLimits(otherTable, clock, other) { }

        private fun isColdThere() = other.findAllowance(checkNotNull(otherTable.findState(endpoint.id))) != null

        private fun report() = limits.nextColdReports(10).forEach(otherLimits::applyColdReport)

        private fun listThere(listed: ServingEndpoint) =
            otherTable.replace(Listing(listOf(FeedEntry("e", listed)), FeedPosition(1)), null, clock.now())

        @Test
        fun `it limits the endpoint as long as the answer to the first one says`() {
            list(endpoint)
            listThere(endpoint)
            cold.recordAnswer(state, 2.seconds, clock.now())
            report()
            assertTrue(isColdThere())
            clock.advance(1.seconds)
            cold.recordAnswer(state, Duration.ZERO, clock.now())
            report()
            assertFalse(isColdThere())
        }

        @Test
        fun `a report of another process is passed over`() {
            list(endpoint)
            listThere(endpoint.copy(bornAt = 2))
            cold.recordAnswer(state, 2.seconds, clock.now())
            report()
            assertFalse(isColdThere())
        }
    }

    @Nested
    inner class `when this instance was suspended` {
        @Test
        fun `all endpoints may be cold until it has current entries`() {
            list(endpoint)
            cold.recordActivity(Duration.ZERO, isAlone = false)
            clock.advance(5.seconds)
            assertTrue(isCold())
            clock.advance(1.seconds)
            cold.recordActivity(Duration.ZERO, isAlone = false)
            assertFalse(isCold())
        }
    }

    private companion object {
        val START = TestClock().now()
    }
}
