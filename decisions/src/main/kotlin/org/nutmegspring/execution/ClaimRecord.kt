package org.nutmegspring.execution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.platform.ObjectKey
import java.security.MessageDigest
import java.util.HexFormat

/**
 * The one attempt that may run a request. [sequence] is used once in the life of the process, so that a process
 * recognises its own record after a lost reply.
 */
@Serializable
data class Claimant(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val sequence: Long,
)

/** How a claimed request ended. */
@Serializable
sealed interface ClaimOutcome {
    /** It ran and gave [answer]. */
    @Serializable
    @SerialName("answered")
    data class Answered(val answer: RecordedAnswer) : ClaimOutcome

    /** It ran and gave an answer that is too long to be kept. */
    @Serializable
    @SerialName("not-kept")
    data object NotKept : ClaimOutcome

    /** It was sent, and whether it ran is not known. */
    @Serializable
    @SerialName("unknown")
    data object Unknown : ClaimOutcome
}

/**
 * The record in the store that decides which attempt may run a request.
 *
 * @property digest the digest of the request; a repeat must have the same
 * @property outcome how it ended, or null while it runs
 */
@Serializable
data class ClaimRecord(
    val claimant: Claimant,
    val digest: String,
    val outcome: ClaimOutcome? = null,
)

/** Identifies a request for which an idempotency key was given. */
data class ClaimId(val organisation: OrganisationId?, val key: IdempotencyKey) {
    /** The key of its record in the store. */
    val objectKey: ObjectKey by lazy {
        val hash = sha256("${organisation?.value.orEmpty()}\u0000${key.value}".encodeToByteArray())
        ObjectKey("$CLAIM_PREFIX/${hash.take(SHARD_DIGITS)}/$hash")
    }
}

/** The first segment of the keys of all claims. */
const val CLAIM_PREFIX: String = "claims"

private const val SHARD_DIGITS = 2
private const val SHARD_COUNT = 256
private const val HEXADECIMAL = 16
private val claimJson = Json { ignoreUnknownKeys = true }

/** Returns the prefixes into which the records are divided. */
fun claimShards(): List<ObjectKey> = List(SHARD_COUNT) { shard ->
    ObjectKey("$CLAIM_PREFIX/${shard.toString(HEXADECIMAL).padStart(SHARD_DIGITS, '0')}/")
}

/** Returns the text that is stored for [record]. */
fun encodeClaim(record: ClaimRecord): String = claimJson.encodeToString(ClaimRecord.serializer(), record)

/** Returns the record that [text] describes, or null when it cannot be read. */
fun decodeClaim(text: String): ClaimRecord? = try {
    claimJson.decodeFromString(ClaimRecord.serializer(), text)
} catch (_: SerializationException) {
    null
}

/** Returns the SHA-256 digest of [bytes] in lower-case hexadecimal. */
fun sha256(bytes: ByteArray): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
