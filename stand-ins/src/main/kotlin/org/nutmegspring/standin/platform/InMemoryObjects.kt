package org.nutmegspring.standin.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import java.util.TreeMap

/** The objects of the platform's store with their versions, in memory. It never fails; callers add the faults. */
class InMemoryObjects {
    private val objects = TreeMap<String, VersionedObject>()
    private var lastVersion = 0L

    /** Returns the object at [key]. */
    @Synchronized
    fun read(key: ObjectKey): VersionedObject? = objects[key.value]

    /** Returns the objects whose keys start with [prefix]. */
    @Synchronized
    fun list(prefix: ObjectKey): List<VersionedObject> =
        objects.tailMap(prefix.value).values.takeWhile { it.key.value.startsWith(prefix.value) }

    /** Writes [value] at [key] when [condition] holds. */
    @Synchronized
    fun write(key: ObjectKey, value: String, condition: WriteCondition): Either<StoreFailure.Conflict, ObjectVersion> {
        val current = objects[key.value]
        val holds = when (condition) {
            WriteCondition.Absent -> current == null
            is WriteCondition.AtVersion -> current?.version == condition.version
        }
        if (!holds) return StoreFailure.Conflict(current).left()
        val version = ObjectVersion(++lastVersion)
        objects[key.value] = VersionedObject(key, version, value)
        return version.right()
    }

    /** Deletes the object at [key] when it stands at [version]. */
    @Synchronized
    fun delete(key: ObjectKey, version: ObjectVersion): Either<StoreFailure.Conflict, Unit> {
        val current = objects[key.value]
        if (current?.version != version) return StoreFailure.Conflict(current).left()
        lastVersion++
        objects.remove(key.value)
        return Unit.right()
    }
}
