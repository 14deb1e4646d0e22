package org.nutmegspring.gateway.duties

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class UsageReporterSpec {
    private val theatre = OrganisationId("theatre")
    private val store = CreateOnlyStore()
    private val calls = RecordedDutyCalls()
    private val reports = calls.reports
    private val skipped = mutableListOf<Long>()
    private var isHeld = true
    private var eraSeenAt = Long.MIN_VALUE / 2

    /** A store in which each object can only be created, never changed. */
    private class CreateOnlyStore : ObjectStore {
        val objects = HashMap<ObjectKey, VersionedObject>()
        override var era = StoreEra(1)

        fun restoreEmpty() {
            objects.clear()
            era = StoreEra(era.value + 1)
        }

        override suspend fun read(key: ObjectKey): Either<StoreFailure, VersionedObject?> = objects[key].right()

        override suspend fun list(prefix: ObjectKey): Either<StoreFailure, List<VersionedObject>> =
            objects.values.toList().right()

        override suspend fun write(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
        ): Either<StoreFailure, ObjectVersion> {
            objects[key]?.let { return StoreFailure.Conflict(it).left() }
            val version = ObjectVersion(objects.size + 1L)
            objects[key] = VersionedObject(key, version, value)
            return version.right()
        }

        override suspend fun delete(key: ObjectKey, version: ObjectVersion): Either<StoreFailure, Unit> = Unit.right()

        override suspend fun watch(
            key: ObjectKey,
            after: ObjectVersion?,
            timeout: Duration,
        ): Either<StoreFailure, VersionedObject?> = null.right()
    }

    /** Starts a reporter that counts [count] requests in every window. */
    private fun TestScope.start(count: Long) = start { count }

    /** Starts a reporter that counts what [count] returns in every window. */
    private fun TestScope.start(count: () -> Long) {
        val reporter = UsageReporter(
            caller = dutyCaller(calls) { isHeld },
            store = store,
            eraAge = { (testScheduler.currentTime - eraSeenAt).milliseconds },
            countRequests = { mapOf(theatre to count()) },
            propagationTime = { Duration.ZERO },
            windowLength = 5.seconds,
            reportDeadline = 10.seconds,
            wallClockMilliseconds = { 100_000 + testScheduler.currentTime },
            onSkipped = { skipped += it },
        )
        backgroundScope.launch { reporter.run() }
    }

    @Nested
    inner class `while the duty is held` {
        @Test
        fun `each window is reported exactly once before its deadline`() = runTest {
            start(count = 3)
            testScheduler.advanceTimeBy(30.seconds)
            assertEquals(reports.map { it.first }.distinct(), reports.map { it.first })
            assertTrue((20L..24L).all { window -> reports.any { it.first == window } }, "$reports")
        }

        @Test
        fun `an unanswered report is retried with the same counts`() = runTest {
            calls.isAnswering = false
            start(count = 3)
            testScheduler.advanceTimeBy(8.seconds)
            calls.isAnswering = true
            testScheduler.advanceTimeBy(2.seconds)
            val repeated = reports.groupBy({ it.first }, { it.second }).values.first { it.size > 1 }
            assertEquals(1, repeated.distinct().size)
        }
    }

    @Nested
    inner class `when another instance takes over the duty` {
        @Test
        fun `it reports the stored counts instead of its own`() = runTest {
            calls.isAnswering = false
            start(count = 3)
            testScheduler.advanceTimeBy(8.seconds)
            val stored = reports.first()
            calls.isAnswering = true
            reports.clear()
            start(count = 8)
            testScheduler.advanceTimeBy(1.seconds)
            assertTrue(reports.filter { it.first == stored.first }.all { it.second == stored.second }, "$reports")
        }
    }

    @Nested
    inner class `while another instance holds the duty` {
        @Test
        fun `nothing is reported`() = runTest {
            isHeld = false
            start(count = 3)
            testScheduler.advanceTimeBy(30.seconds)
            assertEquals(emptyList(), reports)
        }
    }

    @Nested
    inner class `when the store has returned from an older copy` {
        private fun TestScope.restore() {
            store.restoreEmpty()
            eraSeenAt = testScheduler.currentTime
        }

        @Test
        fun `another instance does not report other counts for a window that may have been reported`() = runTest {
            start(count = 3)
            testScheduler.advanceTimeBy(8.seconds)
            val before = reports.toList()
            isHeld = false
            restore()
            isHeld = true
            start(count = 8)
            testScheduler.advanceTimeBy(1.seconds)
            assertTrue(skipped.isNotEmpty() && before.map { it.first }.containsAll(skipped), "$skipped of $before")
            assertTrue(reports.groupBy({ it.first }, { it.second }).values.all { it.distinct().size == 1 }, "$reports")
        }

        @Test
        fun `the instance that fixed the counts stores them again before it repeats the report`() = runTest {
            var count = 3L
            calls.isAnswering = false
            start { count }
            testScheduler.advanceTimeBy(8.seconds)
            restore()
            count = 8
            reports.clear()
            calls.isAnswering = true
            testScheduler.advanceTimeBy(1.seconds)
            val (window, counts) = reports.first()
            assertEquals(mapOf(theatre to 3L), counts)
            assertTrue(ObjectKey("usage/window-$window") in store.objects)
        }

        @Test
        fun `the instance that holds the duties reports the window that it was about to close`() = runTest {
            start(count = 3)
            testScheduler.advanceTimeBy(12.seconds)
            reports.clear()
            restore()
            testScheduler.advanceTimeBy(6.seconds)
            assertEquals(emptyList(), skipped)
            assertTrue(reports.isNotEmpty())
        }

        @Test
        fun `windows that are closed afterwards are reported`() = runTest {
            restore()
            start(count = 3)
            testScheduler.advanceTimeBy(30.seconds)
            assertTrue((22L..24L).all { window -> reports.any { it.first == window } }, "$reports")
        }
    }
}
