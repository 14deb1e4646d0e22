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
 * An idempotency key that identifies the only process that may ever run the request.
 *
 * @property nonce a number that the issuing process uses only once
 * @property expiresAt when the ticket expires, in milliseconds of the issuing process's monotonic clock
 * @property signature proves to the issuing process that it issued the ticket for this organisation
 */
data class Ticket(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val nonce: Long,
    val expiresAt: Long,
    val signature: String,
) {
    /** The idempotency key that the caller sends. */
    val key: IdempotencyKey
        get() {
            val name = encoder.encodeToString(instance.value.encodeToByteArray())
            val numbers = listOf(incarnation.value, nonce, expiresAt).joinToString(".") { it.toString(RADIX) }
            return IdempotencyKey("$TICKET_PREFIX.$name.$numbers.$signature")
        }
}

/** Parses the ticket in [key], or returns null when the key is not a ticket but one that the caller chose. */
fun parseTicket(key: IdempotencyKey): Ticket? {
    val parts = key.value.split('.')
    if (parts.size != TICKET_PARTS || parts[0] != TICKET_PREFIX) return null
    return try {
        Ticket(
            instance = InstanceId(decoder.decode(parts[1]).decodeToString()),
            incarnation = Incarnation(parts[2].toLong(RADIX)),
            nonce = parts[3].toLong(RADIX),
            expiresAt = parts[4].toLong(RADIX),
            signature = parts[5],
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

    /** Issues a ticket for [organisation]. [nonce] must be unique within this process. */
    fun issue(organisation: OrganisationId?, nonce: Long, now: MonotonicTime): Ticket {
        val expiresAt = (now + lifetime).nanoseconds / NANOSECONDS_PER_MILLISECOND
        val unsigned = Ticket(instance, incarnation, nonce, expiresAt, "")
        return unsigned.copy(signature = sign(unsigned, organisation))
    }

    /** Whether [ticket] identifies this process as its issuer. The signature is not verified. */
    fun isForThisProcess(ticket: Ticket): Boolean = ticket.instance == instance && ticket.incarnation == incarnation

    /** Whether this process issued [ticket] for [organisation], verified by the signature. */
    fun hasIssued(ticket: Ticket, organisation: OrganisationId?): Boolean = isForThisProcess(ticket) &&
        MessageDigest.isEqual(
            ticket.signature.encodeToByteArray(),
            sign(ticket, organisation).encodeToByteArray(),
        )

    /** Returns the remaining lifetime of [ticket], issued by this process; not positive once expired. */
    fun remainingLifetime(ticket: Ticket, now: MonotonicTime): Duration =
        (ticket.expiresAt - now.nanoseconds / NANOSECONDS_PER_MILLISECOND).milliseconds

    private fun sign(ticket: Ticket, organisation: OrganisationId?): String {
        val mac = Mac.getInstance(ALGORITHM).apply { init(secretKey) }
        val text = "${ticket.copy(signature = "").key.value}\u0000${organisation?.value.orEmpty()}"
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
