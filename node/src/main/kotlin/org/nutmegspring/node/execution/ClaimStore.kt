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

/** Writes and reads the records of claims. */
class ClaimStore(private val store: ObjectStore) {
    private val writeCount = AtomicLong()

    /** How many writes and deletions were sent to the store. */
    val writes: Long get() = writeCount.get()

    /**
     * Writes [record] under [condition]. While the outcome of a write is not known, the same record is written again,
     * so that its own earlier write is recognised. When it stays unknown the caller must never run the request.
     */
    suspend fun claim(key: ObjectKey, record: ClaimRecord, condition: WriteCondition): ClaimState {
        var state: ClaimState = ClaimState.Unsettled(condition)
        for (attempt in 1..CLAIM_ATTEMPTS) {
            val unsettled = state as? ClaimState.Unsettled ?: return state
            if (attempt > 1) delay(RETRY_DELAY)
            val result = write(key, record, unsettled.condition)
            state = claimStateAfterWrite(record.claimant, unsettled.condition, result)
        }
        return state
    }

    /** Stores how [record], which stands at [version], ended. Gives up after some attempts. */
    suspend fun finish(key: ObjectKey, record: ClaimRecord, version: ObjectVersion, outcome: ClaimOutcome) {
        val finished = record.copy(outcome = outcome)
        repeat(FINISH_ATTEMPTS) { attempt ->
            if (attempt > 0) delay(RETRY_DELAY * (1 shl attempt))
            val result = write(key, finished, WriteCondition.AtVersion(version))
            val settled = result.fold({ it is StoreFailure.Conflict }, { true })
            if (settled) return
        }
    }

    /** Removes the record at [version], so that a repeat of the request starts anew. */
    suspend fun release(key: ObjectKey, version: ObjectVersion) {
        writeCount.incrementAndGet()
        store.delete(key, version)
    }

    /** Returns the record at [key], or null when there is none or it cannot be read. */
    suspend fun read(key: ObjectKey): VersionedObject? = store.read(key).getOrNull()

    private suspend fun write(key: ObjectKey, record: ClaimRecord, condition: WriteCondition) =
        store.write(key, encodeClaim(record), condition).also { writeCount.incrementAndGet() }

    private companion object {
        const val CLAIM_ATTEMPTS = 3
        const val FINISH_ATTEMPTS = 6
        val RETRY_DELAY = 50.milliseconds
    }
}
