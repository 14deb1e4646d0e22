package org.nutmegspring.execution

import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.time.MonotonicTime
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An idempotency key that names the only process that may ever run the request.
 *
 * @property random a number that the process uses once
 * @property expiresAt the reading of that process's clock, in milliseconds, after which the ticket is not accepted
 * @property check shows to the named process that it issued the ticket for this organisation
 */
data class Ticket(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val random: Long,
    val expiresAt: Long,
    val check: String,
) {
    /** The key that the caller sends. */
    val key: IdempotencyKey
        get() {
            val name = encoder.encodeToString(instance.value.encodeToByteArray())
            val numbers = listOf(incarnation.value, random, expiresAt).joinToString(".") { it.toString(RADIX) }
            return IdempotencyKey("$TICKET_PREFIX.$name.$numbers.$check")
        }
}

/** Returns the ticket that [key] represents, or null when it is a key of the caller's own making. */
fun parseTicket(key: IdempotencyKey): Ticket? {
    val parts = key.value.split('.')
    if (parts.size != TICKET_PARTS || parts[0] != TICKET_PREFIX) return null
    return try {
        Ticket(
            instance = InstanceId(decoder.decode(parts[1]).decodeToString()),
            incarnation = Incarnation(parts[2].toLong(RADIX)),
            random = parts[3].toLong(RADIX),
            expiresAt = parts[4].toLong(RADIX),
            check = parts[5],
        )
    } catch (_: IllegalArgumentException) {
        null
    }
}

/** Issues and verifies the tickets of one process. [secret] must be random and never leave the process. */
class TicketIssuer(
    private val instance: InstanceId,
    private val incarnation: Incarnation,
    secret: ByteArray,
    private val lifetime: Duration,
) {
    private val secretKey = SecretKeySpec(secret, ALGORITHM)

    /** Issues a ticket for [organisation]. [random] must not have been used before. */
    fun issue(organisation: OrganisationId?, random: Long, now: MonotonicTime): Ticket {
        val expiresAt = (now + lifetime).nanoseconds / NANOSECONDS_PER_MILLISECOND
        val unchecked = Ticket(instance, incarnation, random, expiresAt, "")
        return unchecked.copy(check = checkOf(unchecked, organisation))
    }

    /** Whether [ticket] names this process. */
    fun names(ticket: Ticket): Boolean = ticket.instance == instance && ticket.incarnation == incarnation

    /** Whether this process issued [ticket] for [organisation]. */
    fun issued(ticket: Ticket, organisation: OrganisationId?): Boolean = names(ticket) &&
        MessageDigest.isEqual(
            ticket.check.encodeToByteArray(),
            checkOf(ticket, organisation).encodeToByteArray(),
        )

    /** Returns how long [ticket], issued by this process, is still accepted; not positive when it has expired. */
    fun remaining(ticket: Ticket, now: MonotonicTime): Duration =
        (ticket.expiresAt - now.nanoseconds / NANOSECONDS_PER_MILLISECOND).milliseconds

    private fun checkOf(ticket: Ticket, organisation: OrganisationId?): String {
        val mac = Mac.getInstance(ALGORITHM).apply { init(secretKey) }
        val text = "${ticket.copy(check = "").key.value}\u0000${organisation?.value.orEmpty()}"
        return encoder.encodeToString(mac.doFinal(text.encodeToByteArray()))
    }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}

private const val TICKET_PREFIX = "ticket"
private const val TICKET_PARTS = 6
private const val RADIX = 36
private val encoder = Base64.getUrlEncoder().withoutPadding()
private val decoder = Base64.getUrlDecoder()
