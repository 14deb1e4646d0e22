package org.nutmegspring.limits

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SlotManagerSpec {
    private val settings = LimitSettings(slots = 3, takeOverDelay = 20.seconds, rebalanceDelay = 30.seconds)
    private val self = SlotHolder(InstanceId("self"), Incarnation(1))
    private val other = SlotHolder(InstanceId("other"), Incarnation(1))
    private val manager = slotManager(settings, LimitShard(0), self)
    private val slot = BucketRate(10.0, 100.0)

    private fun at(time: Duration) = MonotonicTime.ZERO + time

    private fun decide(record: SlotRecord, version: Long, time: Duration, vararg listed: SlotHolder) = manager.decide(
        VersionedSlots(record, ObjectVersion(version)),
        InstanceListing(listed.map { it.instance }.toSet(), emptySet(), at(time)),
        at(time),
    )

    private fun observe(record: SlotRecord, version: Long, time: Duration) =
        manager.observe(VersionedSlots(record, ObjectVersion(version)), at(time))

    @Nested
    inner class `given slots that were never held` {
        @Test
        fun `they are claimed and start with full buckets`() {
            val claimed = assertNotNull(decide(emptySlotRecord(settings), 1, 1.seconds, self))
            assertEquals(0, manager.activeSlotCount(at(1.seconds)))
            observe(claimed, 2, 2.seconds)
            assertEquals(3, manager.activeSlotCount(at(2.seconds)))
            assertEquals(300.0, manager.unusedLevel(slot, at(2.seconds)))
        }
    }

    @Nested
    inner class `given slots held by another instance` {
        private val record = emptySlotRecord(settings).withHolder(0, other).withHolder(1, other).withHolder(2, other)

        @Test
        fun `they are not taken over while it is listed`() {
            assertNull(decide(record, 1, 0.seconds, self, other))
            assertNull(decide(record, 1, 99.seconds, self, other))
        }

        @Test
        fun `they are taken over once it has been absent for the take-over delay without interruption`() {
            assertNull(decide(record, 1, 0.seconds, self))
            assertNull(decide(record, 1, 19.seconds, self, other))
            assertNull(decide(record, 1, 25.seconds, self))
            assertNull(decide(record, 1, 45.seconds, self))
            assertNotNull(decide(record, 1, 46.seconds, self))
        }

        @Test
        fun `they start empty once the grants of the former holder have expired`() {
            decide(record, 1, 0.seconds, self)
            val claimed = assertNotNull(decide(record, 1, 21.seconds, self))
            observe(claimed, 2, 22.seconds)
            val start = 22.seconds + settings.holdingTime
            assertEquals(0, manager.activeSlotCount(at(start - 1.milliseconds)))
            assertEquals(3, manager.activeSlotCount(at(start)))
            assertEquals(0.0, manager.unusedLevel(slot, at(start)))
            assertEquals(30.0, manager.unusedLevel(slot, at(start + 1.seconds)), 0.001)
        }
    }

    @Nested
    inner class `given more slots than another instance holds` {
        private val record = emptySlotRecord(settings).withHolder(0, self).withHolder(1, self).withHolder(2, self)

        @Test
        fun `one at a time is released once the list has been unchanged for the rebalance delay`() {
            assertNull(decide(record, 1, 0.seconds, self, other))
            assertNull(decide(record, 1, 29.seconds, self, other))
            val released = assertNotNull(decide(record, 1, 30.seconds, self, other))
            assertEquals(2, released.countByInstance().getValue(self.instance))
        }

        @Test
        fun `it generates no tokens of a released slot from the decision on, even if the write takes effect late`() {
            decide(record, 1, 0.seconds, self, other)
            val released = assertNotNull(decide(record, 1, 30.seconds, self, other))
            assertEquals(2, manager.activeSlotCount(at(40.seconds)))
            assertEquals(released, decide(record, 1, 40.seconds, self, other))
            assertEquals(2, manager.activeSlotCount(at(99.seconds)))
        }
    }

    @Nested
    inner class `given a record that was read out of order` {
        @Test
        fun `an older version is ignored`() {
            observe(emptySlotRecord(settings), 5, 0.seconds)
            assertNull(decide(emptySlotRecord(settings).withHolder(0, self), 4, 1.seconds, self))
            assertEquals(0, manager.activeSlotCount(at(9.seconds)))
        }
    }

    @Nested
    inner class `given a planned stop` {
        @Test
        fun `all slots are released and no tokens are generated`() {
            observe(emptySlotRecord(settings).withHolder(0, self), 1, 0.seconds)
            manager.stop()
            assertEquals(0, manager.activeSlotCount(at(9.seconds)))
            val released = assertNotNull(decide(manager.record, 1, 9.seconds, self))
            assertEquals(emptyList(), released.heldBy(self))
        }
    }
}
