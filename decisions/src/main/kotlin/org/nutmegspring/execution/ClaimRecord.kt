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
 * The only attempt that may run a request. [sequence] is unique within the process, so that the process recognises its
 * own record after the reply to its write was lost.
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
    /** The request ran and returned [answer]. */
    @Serializable
    @SerialName("answered")
    data class Answered(val answer: RecordedAnswer) : ClaimOutcome

    /** The request ran and returned an answer that is too long to be stored. */
    @Serializable
    @SerialName("not-kept")
    data object NotKept : ClaimOutcome

    /** The request was sent, but it is unknown whether it ran. */
    @Serializable
    @SerialName("unknown")
    data object Unknown : ClaimOutcome
}

/**
 * The record in the store that decides which attempt may run a request.
 *
 * @property digest the digest of the request, which a repeated request must match
 * @property outcome the outcome of the request, or null until one is recorded
 */
@Serializable
data class ClaimRecord(
    val claimant: Claimant,
    val digest: String,
    val outcome: ClaimOutcome? = null,
)

/** Identifies a request that carries an idempotency key. */
data class ClaimId(val organisation: OrganisationId?, val key: IdempotencyKey) {
    /** The key of the claim record in the store. */
    val objectKey: ObjectKey by lazy {
        val hash = sha256("${organisation?.value.orEmpty()}\u0000${key.value}".encodeToByteArray())
        ObjectKey("$CLAIM_PREFIX/${hash.take(SHARD_DIGITS)}/$hash")
    }
}

/** The first segment of every claim key. */
const val CLAIM_PREFIX: String = "claims"

private const val SHARD_DIGITS = 2
private const val SHARD_COUNT = 256
private const val HEXADECIMAL_RADIX = 16
private val claimJson = Json { ignoreUnknownKeys = true }

/** Returns the key prefixes of all claim shards. */
fun claimShardPrefixes(): List<ObjectKey> = List(SHARD_COUNT) { shard ->
    ObjectKey("$CLAIM_PREFIX/${shard.toString(HEXADECIMAL_RADIX).padStart(SHARD_DIGITS, '0')}/")
}

/** Encodes [record] for the store. */
fun encodeClaim(record: ClaimRecord): String = claimJson.encodeToString(ClaimRecord.serializer(), record)

/** Decodes the record in [text], or returns null when it is malformed. */
fun decodeClaim(text: String): ClaimRecord? = try {
    claimJson.decodeFromString(ClaimRecord.serializer(), text)
} catch (_: SerializationException) {
    null
}

/** Returns the SHA-256 digest of [bytes] in lower-case hexadecimal. */
fun sha256(bytes: ByteArray): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
