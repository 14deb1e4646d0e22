package org.nutmegspring.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.failure.Failure
import kotlin.time.Duration

/** The key of an object in the platform's store: segments of letters, digits, `-`, `_` and `.`, separated by `/`. */
@Serializable
@JvmInline
public value class ObjectKey(public val value: String) {
    override fun toString(): String = value
}

/**
 * A period in which the store loses nothing that it has acknowledged. It begins anew each time that the store returns
 * from an older copy, with a greater [value]. Versions and positions of different eras must not be compared.
 */
@Serializable
@JvmInline
public value class StoreEra(public val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** Holds the first era. */
    public companion object {
        /** The era of a store that names none. */
        public val FIRST: StoreEra = StoreEra(0)
    }
}

/**
 * The version that the store assigns to each change. All objects share one increasing sequence of versions, which goes
 * back and is given out again when a new [StoreEra] begins.
 */
@Serializable
@JvmInline
public value class ObjectVersion(public val value: Long) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** A stored object and its version. [value] is text, usually JSON, of at most a megabyte. */
@Serializable
public data class VersionedObject(
    public val key: ObjectKey,
    public val version: ObjectVersion,
    public val value: String,
)

/** The precondition of a conditional write. */
public sealed interface WriteCondition {
    /** The object must not exist. */
    public data object Absent : WriteCondition

    /** The object must exist at exactly [version]. */
    public data class AtVersion(public val version: ObjectVersion) : WriteCondition
}

/** The reason why a store operation failed. */
public sealed interface StoreFailure {
    /** The precondition did not hold. [current] is the stored object, or null if it does not exist. */
    public data class Conflict(public val current: VersionedObject?) : StoreFailure

    /** The store rejected the call without any effect, because of overload or a malformed request. */
    public data class Refused(public val failure: Failure) : StoreFailure

    /** The call received no reply. A write may have taken effect or may still do so. */
    public data class Unanswered(public val failure: Failure) : StoreFailure

    /**
     * Another era has begun since [from]. What was read or written before may be gone, and a write may have taken
     * effect in either era.
     */
    public data class EraChanged(public val from: StoreEra) : StoreFailure
}

/** The platform's versioned object store. The platform counts each call; a long-polling watch counts as one call. */
public interface ObjectStore {
    /**
     * The era of the store, or null before its first answer. A call that succeeds was answered in the era that the
     * store had when the call was made; otherwise it fails with [StoreFailure.EraChanged].
     */
    public val era: StoreEra? get() = StoreEra.FIRST

    /** Returns the object at [key], or null if it does not exist. */
    public suspend fun read(key: ObjectKey): Either<StoreFailure, VersionedObject?>

    /** Returns the objects whose keys start with [prefix], sorted by key. */
    public suspend fun list(prefix: ObjectKey): Either<StoreFailure, List<VersionedObject>>

    /** Writes [value] at [key] if [condition] holds, and returns the new version. */
    public suspend fun write(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<StoreFailure, ObjectVersion>

    /** Deletes the object at [key] if its current version is [version]. */
    public suspend fun delete(key: ObjectKey, version: ObjectVersion): Either<StoreFailure, Unit>

    /** Waits up to [timeout] for the object at [key] to be newer than [after]; returns it, or null if it is not. */
    public suspend fun watch(
        key: ObjectKey,
        after: ObjectVersion?,
        timeout: Duration,
    ): Either<StoreFailure, VersionedObject?>
}
