package org.nutmegspring.execution

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class TicketSpec {
    private val theatre = OrganisationId("theatre")
    private val instance = InstanceId("i.1 é")
    private val now = MonotonicTime.ZERO + 90.seconds
    private val issuer = issuer(Incarnation(-7), secret = 1)
    private val ticket = issuer.issue(theatre, nonce = -12345, now)

    private fun issuer(incarnation: Incarnation, secret: Byte) =
        TicketIssuer(instance, incarnation, ByteArray(32) { secret }, lifetime = 10.minutes)

    @Nested
    inner class `given an issued ticket` {
        @Test
        fun `its key parses back to the same ticket`() {
            assertEquals(ticket, parseTicket(ticket.key))
        }

        @Test
        fun `is accepted for its organisation until it expires`() {
            assertTrue(issuer.hasIssued(ticket, theatre))
            assertEquals(9.minutes, issuer.remainingLifetime(ticket, now + 1.minutes))
        }

        @Test
        fun `is not accepted for another organisation or with another expiry`() {
            assertFalse(issuer.hasIssued(ticket, OrganisationId("festival")))
            assertFalse(issuer.hasIssued(ticket.copy(expiresAt = ticket.expiresAt + 1), theatre))
        }

        @Test
        fun `a later process of the same instance does not accept it as its own`() {
            assertFalse(issuer(Incarnation(8), secret = 1).isForThisProcess(ticket))
            assertFalse(issuer(Incarnation(-7), secret = 2).hasIssued(ticket, theatre))
        }
    }

    @Nested
    inner class `given a key that is not a ticket` {
        @Test
        fun `parses to null`() {
            listOf("order-17", "ticket.a.b", "ticket.!.1.1.1.x", "ticket.aQ.zz~.1.1.x").forEach {
                assertNull(parseTicket(IdempotencyKey(it)), it)
            }
        }
    }
}
