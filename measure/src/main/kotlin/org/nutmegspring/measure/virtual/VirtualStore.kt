package org.nutmegspring.measure.virtual

import arrow.core.Either
import arrow.core.left
import arrow.core.right
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
import org.nutmegspring.standin.platform.InMemoryObjects
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What may go wrong with calls from one process to another, drawn anew for each call.
 *
 * @property greatestLateness how long a late call is held up at most
 */
class CallFaults(
    private val random: Random,
    private val greatestLateness: Duration = 15.seconds,
) {
    /** Whether no call arrives. */
    var unreachable: Boolean = false

    /** Whether calls take seconds. */
    var slow: Boolean = false

    /** The probability that a reply is lost after the call took effect. */
    var replyLoss: Double = 0.0

    /** The probability that a call is held up on its way. */
    var lateness: Double = 0.0

    /** How many replies were lost. */
    var lostReplies: Long = 0
        private set

    /** Returns how long a call takes on its way, or null when it never arrives. */
    fun requestDelay(): Duration? = when {
        unreachable -> null
        random.nextDouble() < lateness -> greatestLateness * random.nextDouble()
        slow -> random.nextLong(1, SLOW_MILLISECONDS).milliseconds
        else -> random.nextLong(1, USUAL_MILLISECONDS).milliseconds
    }

    /** Returns how long a reply takes on its way, or null when it is lost. */
    fun replyDelay(): Duration? {
        if (unreachable) return null
        if (random.nextDouble() < replyLoss) {
            lostReplies++
            return null
        }
        return random.nextLong(1, if (slow) SLOW_MILLISECONDS else USUAL_MILLISECONDS).milliseconds
    }

    private companion object {
        const val USUAL_MILLISECONDS = 5L
        const val SLOW_MILLISECONDS = 2_000L
    }
}

/**
 * The store as [process] reaches it, with faults. A call whose reply does not come in time is unanswered, and its
 * effect may still come later.
 *
 * @property beforeSend runs in the process directly before a call leaves it, and may pause it
 */
class VirtualStore(
    private val schedule: VirtualSchedule,
    private val process: VirtualProcess,
    private val objects: InMemoryObjects,
    private val faults: CallFaults,
    private val beforeSend: () -> Unit = {},
) : ObjectStore {
    /** How many calls were sent. */
    var calls: Long = 0
        private set

    override suspend fun read(key: ObjectKey): Either<StoreFailure, VersionedObject?> =
        call { objects.read(key).right() }

    override suspend fun list(prefix: ObjectKey): Either<StoreFailure, List<VersionedObject>> =
        call { objects.list(prefix).right() }

    override suspend fun write(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<StoreFailure, ObjectVersion> = call { objects.write(key, value, condition) }

    override suspend fun delete(key: ObjectKey, version: ObjectVersion): Either<StoreFailure, Unit> =
        call { objects.delete(key, version) }

    override suspend fun watch(
        key: ObjectKey,
        after: ObjectVersion?,
        timeout: Duration,
    ): Either<StoreFailure, VersionedObject?> =
        call { objects.read(key)?.takeIf { after == null || it.version > after }.right() }

    private suspend fun <T> call(effect: () -> Either<StoreFailure, T>): Either<StoreFailure, T> {
        calls++
        beforeSend()
        return process.call { resume ->
            process.after(TIMEOUT) { resume(UNANSWERED.left()) }
            faults.requestDelay()?.let { delay -> schedule.after(delay) { answer(effect(), resume) } }
        }
    }

    private fun <T> answer(result: Either<StoreFailure, T>, resume: (Either<StoreFailure, T>) -> Unit) {
        faults.replyDelay()?.let { delay -> schedule.after(delay) { resume(result) } }
    }

    private companion object {
        val TIMEOUT = 1.seconds
        val UNANSWERED = StoreFailure.Unanswered(
            Failure(Step.WRITE_OBJECT, Peer.PLATFORM, Effect.UNKNOWN, "no answer within $TIMEOUT", Duration.ZERO),
        )
    }
}
