package org.nutmegspring.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.failure.Failure
import kotlin.time.Duration

/** The key of an object in the platform's store: path segments of letters, digits, `-`, `_` and `.`, parted by `/`. */
@Serializable
@JvmInline
public value class ObjectKey(public val value: String) {
    override fun toString(): String = value
}

/** A version that the store gives to each change. Versions of all objects come from one increasing sequence. */
@Serializable
@JvmInline
public value class ObjectVersion(public val value: Long) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** An object as the store holds it. [value] is text, usually JSON, of at most a megabyte. */
@Serializable
public data class VersionedObject(
    public val key: ObjectKey,
    public val version: ObjectVersion,
    public val value: String,
)

/** The condition under which a write takes effect. */
public sealed interface WriteCondition {
    /** The object must not exist. */
    public data object Absent : WriteCondition

    /** The object must exist at exactly [version]. */
    public data class AtVersion(public val version: ObjectVersion) : WriteCondition
}

/** Why an operation on the store did not succeed. */
public sealed interface StoreFailure {
    /** The condition did not hold. [current] is the object as it stands, or null when it does not exist. */
    public data class Conflict(public val current: VersionedObject?) : StoreFailure

    /** The store refused the call, and nothing was changed: it is overloaded, or the request was malformed. */
    public data class Refused(public val failure: Failure) : StoreFailure

    /** No answer came. A write may have taken effect or may still do so. */
    public data class Unanswered(public val failure: Failure) : StoreFailure
}

/** The platform's versioned object API. Each call is counted by the platform, a waiting watch as one. */
public interface ObjectStore {
    /** Returns the object at [key], or null when it does not exist. */
    public suspend fun read(key: ObjectKey): Either<StoreFailure, VersionedObject?>

    /** Returns the objects whose keys start with [prefix], in the order of their keys. */
    public suspend fun list(prefix: ObjectKey): Either<StoreFailure, List<VersionedObject>>

    /** Writes [value] at [key] when [condition] holds and returns the new version. */
    public suspend fun write(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<StoreFailure, ObjectVersion>

    /** Deletes the object at [key] when it stands at [version]. */
    public suspend fun delete(key: ObjectKey, version: ObjectVersion): Either<StoreFailure, Unit>

    /** Waits at most [timeout] for the object at [key] to pass [after], and returns it, or null when it did not. */
    public suspend fun watch(
        key: ObjectKey,
        after: ObjectVersion?,
        timeout: Duration,
    ): Either<StoreFailure, VersionedObject?>
}
