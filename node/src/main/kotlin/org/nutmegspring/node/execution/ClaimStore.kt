package org.nutmegspring.node.execution

import kotlinx.coroutines.delay
import org.nutmegspring.execution.ClaimOutcome
import org.nutmegspring.execution.ClaimRecord
import org.nutmegspring.execution.ClaimState
import org.nutmegspring.execution.claimStateAfterWrite
import org.nutmegspring.execution.encodeClaim
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** Writes and reads claim records in the object store. */
class ClaimStore(private val store: ObjectStore) {
    private val writeCounter = AtomicLong()

    /** The number of writes and deletions sent to the store. */
    val writeCount: Long get() = writeCounter.get()

    /**
     * Writes [record] under [condition]. While the outcome of a write is unknown, the same record is written again, so
     * that an earlier write of this attempt is recognised. If the outcome remains unknown after the last attempt, the
     * caller must never run the request.
     */
    suspend fun claim(key: ObjectKey, record: ClaimRecord, condition: WriteCondition): ClaimState {
        var state: ClaimState = ClaimState.Unsettled(condition)
        for (attempt in 1..MAXIMUM_CLAIM_ATTEMPTS) {
            val unsettled = state as? ClaimState.Unsettled ?: return state
            if (attempt > 1) delay(RETRY_DELAY)
            val result = write(key, record, unsettled.condition)
            state = claimStateAfterWrite(record.claimant, unsettled.condition, result)
        }
        return state
    }

    /** Adds [outcome] to [record], which is stored at [version]. Gives up after a limited number of attempts. */
    suspend fun finish(key: ObjectKey, record: ClaimRecord, version: ObjectVersion, outcome: ClaimOutcome) {
        val finished = record.copy(outcome = outcome)
        repeat(MAXIMUM_FINISH_ATTEMPTS) { attempt ->
            if (attempt > 0) delay(RETRY_DELAY * (1 shl attempt))
            val result = write(key, finished, WriteCondition.AtVersion(version))
            val isSettled = result.fold({ it is StoreFailure.Conflict }, { true })
            if (isSettled) return
        }
    }

    /** Deletes the record at [version], so that a repeated request can be claimed again. */
    suspend fun release(key: ObjectKey, version: ObjectVersion) {
        writeCounter.incrementAndGet()
        store.delete(key, version)
    }

    /** Returns the record at [key], or null if there is none or the store cannot be read. */
    suspend fun read(key: ObjectKey): VersionedObject? = store.read(key).getOrNull()

    private suspend fun write(key: ObjectKey, record: ClaimRecord, condition: WriteCondition) =
        store.write(key, encodeClaim(record), condition).also { writeCounter.incrementAndGet() }

    private companion object {
        const val MAXIMUM_CLAIM_ATTEMPTS = 3
        const val MAXIMUM_FINISH_ATTEMPTS = 6
        val RETRY_DELAY = 50.milliseconds
    }
}
