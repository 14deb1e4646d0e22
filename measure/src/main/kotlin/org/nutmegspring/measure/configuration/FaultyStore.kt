package org.nutmegspring.measure.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.measure.virtual.VirtualSchedule
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

/** The platform's store in memory with the faults of a simulated network before it, and counts of its calls. */
internal class FaultyStore(
    private val schedule: VirtualSchedule,
    private val random: Random,
    private val latency: Duration = 3.milliseconds,
) {
    /** The objects behind the faults. */
    val objects = InMemoryObjects()

    /** Whether the store answers nothing. */
    var down = false

    /** The longest additional delay of each way. */
    var extraDelay: Duration = Duration.ZERO

    /** The probability that a reply is lost. */
    var replyLoss = 0.0

    /** The instances that do not reach the store. */
    val unreachableFrom = HashSet<InstanceId>()

    /** How many replies to writes were lost. */
    var repliesLost = 0L
        private set

    /** How many reads arrived. */
    var reads = 0L
        private set

    /** How many writes arrived. */
    var writes = 0L
        private set

    /** How many bytes of keys and values went either way. */
    var bytes = 0L
        private set

    /** Returns the store as [instance] reaches it. */
    fun clientOf(instance: InstanceId): ObjectStore = Client(instance)

    private inner class Client(private val instance: InstanceId) : ObjectStore {
        override suspend fun read(key: ObjectKey): Either<StoreFailure, VersionedObject?> = call {
            reads++
            objects.read(key).also { bytes += key.value.length + (it?.value?.length ?: 0) }.right()
        }

        override suspend fun list(prefix: ObjectKey): Either<StoreFailure, List<VersionedObject>> = call {
            reads++
            objects.list(prefix).right()
        }

        override suspend fun write(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
        ): Either<StoreFailure, ObjectVersion> = call(changes = true) {
            writes++
            bytes += key.value.length + value.length
            objects.write(key, value, condition)
        }

        override suspend fun delete(key: ObjectKey, version: ObjectVersion): Either<StoreFailure, Unit> =
            call(changes = true) {
                writes++
                objects.delete(key, version)
            }

        override suspend fun watch(
            key: ObjectKey,
            after: ObjectVersion?,
            timeout: Duration,
        ): Either<StoreFailure, VersionedObject?> = read(key)

        private suspend fun <T> call(
            changes: Boolean = false,
            operation: () -> Either<StoreFailure, T>,
        ): Either<StoreFailure, T> {
            val reply = CompletableDeferred<Either<StoreFailure, T>>()
            schedule.after(wayDelay()) { arrive(changes, operation, reply) }
            return withTimeoutOrNull(CALL_TIMEOUT) { reply.await() } ?: unanswered(changes).left()
        }

        private fun <T> arrive(
            changes: Boolean,
            operation: () -> Either<StoreFailure, T>,
            reply: CompletableDeferred<Either<StoreFailure, T>>,
        ) {
            if (down || instance in unreachableFrom) return
            val result = operation()
            if (random.nextDouble() < replyLoss) {
                if (changes) repliesLost++
                return
            }
            schedule.after(wayDelay()) { if (instance !in unreachableFrom) reply.complete(result) }
        }

        private fun unanswered(changes: Boolean): StoreFailure {
            val step = if (changes) Step.WRITE_OBJECT else Step.READ_OBJECT
            return StoreFailure.Unanswered(Failure(step, Peer.PLATFORM, Effect.UNKNOWN, "no answer"))
        }
    }

    private fun wayDelay(): Duration = latency / 2 + extraDelay * random.nextDouble()

    private companion object {
        val CALL_TIMEOUT = 1000.milliseconds
    }
}
