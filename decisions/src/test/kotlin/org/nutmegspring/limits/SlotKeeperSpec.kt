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

class SlotKeeperSpec {
    private val settings = LimitSettings(slots = 3, takeOverDelay = 20.seconds, rebalanceDelay = 30.seconds)
    private val self = SlotHolder(InstanceId("self"), Incarnation(1))
    private val other = SlotHolder(InstanceId("other"), Incarnation(1))
    private val keeper = slotKeeper(settings, LimitShard(0), self)
    private val slot = BucketRate(10.0, 100.0)

    private fun at(time: Duration) = MonotonicTime.ZERO + time

    private fun decide(record: SlotRecord, version: Long, time: Duration, vararg listed: SlotHolder) = keeper.decide(
        ReadSlots(record, ObjectVersion(version)),
        InstanceListing(listed.map { it.instance }.toSet(), emptySet(), at(time)),
        at(time),
    )

    private fun written(record: SlotRecord, version: Long, time: Duration) =
        keeper.observe(ReadSlots(record, ObjectVersion(version)), at(time))

    @Nested
    inner class `given slots that nobody ever held` {
        @Test
        fun `they are claimed and start full`() {
            val claimed = assertNotNull(decide(emptySlotRecord(settings), 1, 1.seconds, self))
            assertEquals(0, keeper.minting(at(1.seconds)))
            written(claimed, 2, 2.seconds)
            assertEquals(3, keeper.minting(at(2.seconds)))
            assertEquals(300.0, keeper.unusedLevel(slot, at(2.seconds)))
        }
    }

    @Nested
    inner class `given slots of another instance` {
        private val record = emptySlotRecord(settings).claimed(0, other).claimed(1, other).claimed(2, other)

        @Test
        fun `they stay with it while it is listed`() {
            assertNull(decide(record, 1, 0.seconds, self, other))
            assertNull(decide(record, 1, 99.seconds, self, other))
        }

        @Test
        fun `they are taken over once it was absent for long enough without a break`() {
            assertNull(decide(record, 1, 0.seconds, self))
            assertNull(decide(record, 1, 19.seconds, self, other))
            assertNull(decide(record, 1, 25.seconds, self))
            assertNull(decide(record, 1, 45.seconds, self))
            assertNotNull(decide(record, 1, 46.seconds, self))
        }

        @Test
        fun `they start empty when the grants of the former holder have expired`() {
            decide(record, 1, 0.seconds, self)
            val claimed = assertNotNull(decide(record, 1, 21.seconds, self))
            written(claimed, 2, 22.seconds)
            val start = 22.seconds + settings.holdingTime
            assertEquals(0, keeper.minting(at(start - 1.milliseconds)))
            assertEquals(3, keeper.minting(at(start)))
            assertEquals(0.0, keeper.unusedLevel(slot, at(start)))
            assertEquals(30.0, keeper.unusedLevel(slot, at(start + 1.seconds)), 0.001)
        }
    }

    @Nested
    inner class `given more slots than another instance` {
        private val record = emptySlotRecord(settings).claimed(0, self).claimed(1, self).claimed(2, self)

        @Test
        fun `one is handed back at a time when the list has long been the same`() {
            assertNull(decide(record, 1, 0.seconds, self, other))
            assertNull(decide(record, 1, 29.seconds, self, other))
            val released = assertNotNull(decide(record, 1, 30.seconds, self, other))
            assertEquals(2, released.countByInstance().getValue(self.instance))
        }

        @Test
        fun `it mints no more for that slot from the decision on, although the write may take effect late`() {
            decide(record, 1, 0.seconds, self, other)
            val released = assertNotNull(decide(record, 1, 30.seconds, self, other))
            assertEquals(2, keeper.minting(at(40.seconds)))
            assertEquals(released, decide(record, 1, 40.seconds, self, other))
            assertEquals(2, keeper.minting(at(99.seconds)))
        }
    }

    @Nested
    inner class `given a record that was read out of order` {
        @Test
        fun `an older one is ignored`() {
            written(emptySlotRecord(settings), 5, 0.seconds)
            assertNull(decide(emptySlotRecord(settings).claimed(0, self), 4, 1.seconds, self))
            assertEquals(0, keeper.minting(at(9.seconds)))
        }
    }

    @Nested
    inner class `given a planned stop` {
        @Test
        fun `all slots are handed back and none mints`() {
            written(emptySlotRecord(settings).claimed(0, self), 1, 0.seconds)
            keeper.stop()
            assertEquals(0, keeper.minting(at(9.seconds)))
            val released = assertNotNull(decide(keeper.record, 1, 9.seconds, self))
            assertEquals(emptyList(), released.heldBy(self))
        }
    }
}
