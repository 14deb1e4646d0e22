package org.nutmegspring.identity

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifies an organisation, the unit to which keys, limits and usage belong. */
@Serializable
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one instance of the system. The platform assigns it and never reuses it. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a data centre. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an endpoint: an engine or an instance of a plain service. */
@Serializable
@JvmInline
public value class EndpointId(public val value: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a model by the name that callers use. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a plain service by the name that callers use in the path. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one part of a prompt, whatever stands before it. Requests with equal text share the part. */
@Serializable
@JvmInline
public value class PromptPartId(public val value: Long) : Comparable<PromptPartId> {
    override fun compareTo(other: PromptPartId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toULong().toString(HEXADECIMAL)
}

/** Identifies one request. The entry instance generates it at random and never reuses it. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an API key without revealing its secret. Operators revoke the key by this id. */
@Serializable
@JvmInline
public value class KeyId(public val value: String) {
    override fun toString(): String = value
}

/** The SHA-256 digest of an API key, in lower-case hexadecimal. The key itself is never stored. */
@Serializable
@JvmInline
public value class KeyHash(public val value: String) {
    override fun toString(): String = "KeyHash(hidden)"
}

/** The idempotency key that a caller attached to a request, or a ticket issued by an instance. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** Distinguishes successive processes that run under one [InstanceId]. It is generated at random at process start. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) {
    override fun toString(): String = value.toString(HEXADECIMAL)
}

/** The revision number of an accepted configuration. Revisions form a single chain and only increase. */
@Serializable
@JvmInline
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    /** Returns the next revision. */
    public fun next(): Revision = Revision(value + 1)

    override fun toString(): String = value.toString()

    /** Holds the revision from which every chain starts. */
    public companion object {
        /** The revision of the empty configuration. */
        public val NONE: Revision = Revision(0)
    }
}

/**
 * A token that increases with each change of a lease holder. Endpoints may reject orders that carry an old token.
 *
 * The serial name is the earlier name of the class, kept for compatibility.
 */
@Serializable
@SerialName("org.nutmegspring.identity.FencingNumber")
@JvmInline
public value class FencingToken(public val value: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** A number of tokens, prompt and output together. */
@Serializable
@JvmInline
public value class TokenCount(public val value: Long) : Comparable<TokenCount> {
    override fun compareTo(other: TokenCount): Int = value.compareTo(other.value)

    /** Returns the sum of both amounts. */
    public operator fun plus(other: TokenCount): TokenCount = TokenCount(value + other.value)

    /** Returns the difference of both amounts. */
    public operator fun minus(other: TokenCount): TokenCount = TokenCount(value - other.value)

    override fun toString(): String = value.toString()
}

private const val HEXADECIMAL = 16
