package org.nutmegspring.identity

import kotlinx.serialization.Serializable

/** Identifies an organisation, the unit to which keys, limits and usage belong. */
@Serializable
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one instance of the system. An instance id is given by the platform and is never used again. */
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

/** Identifies one request. It is drawn at random by the entry instance and never used again. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an API key without revealing it. Operators use it to revoke the key. */
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

/** Distinguishes successive processes that run under one [InstanceId]. It is drawn at random at start. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) {
    override fun toString(): String = value.toString(HEXADECIMAL)
}

/** A position in the single chain of accepted configurations. It only increases. */
@Serializable
@JvmInline
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    /** Returns the revision that follows this one. */
    public fun next(): Revision = Revision(value + 1)

    override fun toString(): String = value.toString()

    /** Holds the revision from which every chain starts. */
    public companion object {
        /** The revision of the empty configuration. */
        public val NONE: Revision = Revision(0)
    }
}

/** A number that grows with each change of the holder of a duty. Endpoints may reject orders that carry an old one. */
@Serializable
@JvmInline
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** An amount of tokens of prompt and output together. */
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
