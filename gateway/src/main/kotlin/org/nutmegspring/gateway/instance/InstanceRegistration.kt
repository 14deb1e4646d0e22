package org.nutmegspring.gateway.instance

import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.peers.InstanceRecord
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.node.control.TypedObjectStore
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import kotlin.time.Duration.Companion.milliseconds

/** Registers this instance in the platform's store, and reads the records of the others. */
internal class InstanceRegistration(
    private val store: ObjectStore,
    private val self: InstanceId,
    private val record: InstanceRecord,
    private val log: DecisionLog,
) {
    /** Keeps this instance's record in the store, which may lose it when it returns from an older copy. */
    suspend fun run(): Nothing {
        while (true) {
            val era = store.era
            register()
            while (store.era == era) delay(ERA_CHECK)
        }
    }

    /** Creates this instance's record, or replaces what is stored under its name; retries until it is stored. */
    private suspend fun register() {
        val records = TypedObjectStore(store, InstanceRecord.serializer())
        val key = ObjectKey("$KIND/${self.value}")
        while (true) {
            val isRegistered = records.write(key, record, WriteCondition.Absent).fold(
                { failure -> (failure as? StoreFailure.Conflict)?.current?.let { replace(records, it) } ?: false },
                { true },
            )
            if (isRegistered) return
            delay(REGISTER_PAUSE)
        }
    }

    /** Replaces [stored] unless it is the same record. Returns whether the store has the record. */
    private suspend fun replace(records: TypedObjectStore<InstanceRecord>, stored: VersionedObject): Boolean {
        val isSame = records.decode(stored).getOrNull()?.value == record
        return isSame || records.write(stored.key, record, WriteCondition.AtVersion(stored.version)).isRight()
    }

    /** Returns the record of an instance in [text], or null when it cannot be read. */
    fun decode(text: String): InstanceRecord? = try {
        json.decodeFromString(InstanceRecord.serializer(), text)
    } catch (unreadable: SerializationException) {
        log.record(DecisionEvent.Skipped("the record of an instance", unreadable.message.orEmpty()))
        null
    }

    companion object {
        /** The kind of the store objects that register the instances. */
        const val KIND = "instances"
        private val json = Json { ignoreUnknownKeys = true }
        private val REGISTER_PAUSE = 300.milliseconds
        private val ERA_CHECK = 100.milliseconds
    }
}
