package org.nutmegspring.node.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition

/** A stored value and the version of its object. */
data class StoredValue<out T>(
    val version: ObjectVersion,
    val value: T,
)

/** Reads and writes values of type [T], encoded as JSON, in the platform's object store. */
class TypedObjectStore<T : Any>(
    private val store: ObjectStore,
    private val serializer: KSerializer<T>,
) {
    /** Returns the value at [key], or null if there is none. */
    suspend fun read(key: ObjectKey): Either<StoreFailure, StoredValue<T>?> =
        store.read(key).flatMap { found -> found?.let(::decode) ?: null.right() }

    /** Writes [value] at [key] if [condition] holds. */
    suspend fun write(key: ObjectKey, value: T, condition: WriteCondition): Either<StoreFailure, ObjectVersion> =
        store.write(key, json.encodeToString(serializer, value), condition)

    /** Decodes [found], or returns a failure if its content is not a valid [T]. */
    fun decode(found: VersionedObject): Either<StoreFailure, StoredValue<T>> = try {
        StoredValue(found.version, json.decodeFromString(serializer, found.value)).right()
    } catch (exception: SerializationException) {
        val message = "object ${found.key} cannot be decoded: ${exception.message}"
        StoreFailure.Refused(Failure(Step.READ_OBJECT, Peer.PLATFORM, Effect.NOT_RUN, message)).left()
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}

/** Returns the condition for a write that replaces exactly this version, or creates the object if this is null. */
fun StoredValue<*>?.toWriteCondition(): WriteCondition =
    if (this == null) WriteCondition.Absent else WriteCondition.AtVersion(version)
