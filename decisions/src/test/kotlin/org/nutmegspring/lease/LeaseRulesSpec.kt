package org.nutmegspring.lease

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.time.agesWithoutSuspension
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeaseRulesSpec {
    private val timing = LeaseTiming(duration = 6.seconds, readInterval = 1.seconds, clockRateBound = 0.01)
    private val rules = LeaseRules(timing)
    private val self = LeaseHolder(InstanceId("a"), Incarnation(1))
    private val other = LeaseHolder(InstanceId("b"), Incarnation(2))

    private fun at(after: Duration): MonotonicTime = MonotonicTime.ZERO + after

    private fun nextAction(state: LeaseState, role: LeaseRole, now: MonotonicTime) =
        rules.nextAction(state, role, now, now.agesWithoutSuspension())

    private fun onNewEra(state: LeaseState, era: StoreEra, now: MonotonicTime) =
        rules.onNewEra(state, era, now, now.agesWithoutSuspension())

    private fun validLeaseAt(state: LeaseState, now: MonotonicTime) =
        state.validLease(now, now.agesWithoutSuspension())

    private fun lease(version: Long, writer: LeaseHolder, sequence: Long, released: Boolean = false) =
        VersionedLease(ObjectVersion(version), LeaseRecord(writer, sequence, FencingToken(4), 6_000, released))

    private fun writeAt(state: LeaseState, now: MonotonicTime): LeaseWrite =
        assertIs<LeaseAction.Write>(nextAction(state, LeaseRole.HOLD, now)).write

    @Nested
    inner class `given a lease that another process holds` {
        private val seen = rules.onObserved(LeaseState(self), lease(7, other, 1), at(10.seconds))

        @Test
        fun `waits for its duration and the clock rate margin from the first observation of the version`() {
            val waitsUntil = 10.seconds + timing.withClockMargin(6.seconds)
            val reread = rules.onObserved(seen, lease(7, other, 1), at(waitsUntil - 1.milliseconds))
            assertIs<LeaseAction.Wait>(nextAction(reread, LeaseRole.HOLD, at(waitsUntil - 1.milliseconds)))
            assertEquals(FencingToken(5), writeAt(reread, at(waitsUntil)).record.fencing)
        }

        @Test
        fun `restarts the wait when the version changes`() {
            val renewed = rules.onObserved(seen, lease(8, other, 2), at(16.seconds))
            assertIs<LeaseAction.Wait>(nextAction(renewed, LeaseRole.HOLD, at(16.5.seconds)))
        }

        @Test
        fun `reads the object again before a takeover when its last read is old`() {
            assertEquals(LeaseAction.Read, nextAction(seen, LeaseRole.HOLD, at(60.seconds)))
        }

        @Test
        fun `does not read the object when it does not want the lease`() {
            assertIs<LeaseAction.Wait>(nextAction(seen, LeaseRole.NONE, at(60.seconds)))
        }
    }

    @Nested
    inner class `given a write whose reply was lost` {
        private val empty = rules.onObserved(LeaseState(self), null, at(1.seconds))
        private val write = writeAt(empty, at(1.5.seconds))
        private val unanswered = rules.onUnanswered(rules.onSend(empty, write))

        @Test
        fun `does not hold the lease until it has read the object`() {
            assertNull(unanswered.held)
            assertEquals(LeaseAction.Read, nextAction(unanswered, LeaseRole.HOLD, at(3.seconds)))
        }

        @Test
        fun `recognises its write and measures the lease from before the send`() {
            val found = rules.onObserved(unanswered, VersionedLease(ObjectVersion(3), write.record), at(4.seconds))
            assertEquals(at(1.5.seconds) + 6.seconds, found.held?.validUntil)
        }

        @Test
        fun `recognises its delayed first write when a second write conflicts with it`() {
            val reread = rules.onObserved(unanswered, null, at(3.seconds))
            val second = writeAt(reread, at(3.seconds))
            val sent = rules.onSend(reread, second)
            val conflicted = rules.onObserved(sent, VersionedLease(ObjectVersion(3), write.record), at(3.1.seconds))
            assertEquals(at(1.5.seconds) + 6.seconds, conflicted.held?.validUntil)
            assertTrue(conflicted.unresolved.isEmpty())
        }

        @Test
        fun `does not accept a write of an earlier process of the same instance as its own`() {
            val former = LeaseHolder(self.instance, Incarnation(9))
            val found = rules.onObserved(unanswered, lease(3, former, write.record.sequence), at(4.seconds))
            assertNull(found.held)
        }
    }

    @Nested
    inner class `given a held lease` {
        private val empty = rules.onObserved(LeaseState(self), null, at(1.seconds))
        private val write = writeAt(empty, at(1.seconds))
        private val held =
            rules.onObserved(rules.onSend(empty, write), VersionedLease(ObjectVersion(3), write.record), at(2.seconds))

        @Test
        fun `renews it with the same fencing number at the observed version`() {
            val renewal = writeAt(held, at(3.seconds))
            assertEquals(write.record.fencing, renewal.record.fencing)
            assertEquals(WriteCondition.AtVersion(ObjectVersion(3)), renewal.condition)
        }

        @Test
        fun `stops holding it before the release is sent`() {
            val release = assertIs<LeaseAction.Write>(nextAction(held, LeaseRole.NONE, at(2.seconds))).write
            assertTrue(release.record.released)
            assertNull(rules.onSend(held, release).held)
        }

        @Test
        fun `loses it when another process has written the object`() {
            assertNull(rules.onObserved(held, lease(9, other, 1), at(3.seconds)).held)
        }
    }

    @Nested
    inner class `given a released lease` {
        private val released = rules.onObserved(LeaseState(self), lease(7, other, 5, released = true), at(1.seconds))

        @Test
        fun `the preferred process takes it over immediately and a standby waits`() {
            assertEquals(FencingToken(5), writeAt(released, at(1.seconds)).record.fencing)
            assertIs<LeaseAction.Wait>(nextAction(released, LeaseRole.STAND_BY, at(1.seconds)))
        }
    }

    @Nested
    inner class `when the store has returned from an older copy` {
        private val era = StoreEra(3)
        private val expiry = 10.seconds + timing.withClockMargin(6.seconds)

        private fun absentAt(state: LeaseState, now: MonotonicTime) = rules.onObserved(state, null, now)

        @Test
        fun `a process without the lease waits until all earlier leases have expired`() {
            val waiting = onNewEra(LeaseState(self), era, at(10.seconds))
            val early = at(expiry - 1.milliseconds)
            assertIs<LeaseAction.Wait>(nextAction(absentAt(waiting, early), LeaseRole.HOLD, early))
            assertIs<LeaseAction.Write>(nextAction(absentAt(waiting, at(expiry)), LeaseRole.HOLD, at(expiry)))
        }

        @Test
        fun `a lower version than the one seen before is not ignored`() {
            val seen = rules.onObserved(LeaseState(self), lease(70, other, 9), at(9.seconds))
            val restored = onNewEra(seen, era, at(10.seconds))
            assertEquals(ObjectVersion(7), rules.onObserved(restored, lease(7, other, 1), at(10.seconds)).seen?.version)
        }

        @Test
        fun `the first token is greater than all of earlier eras`() {
            val last = onNewEra(LeaseState(self), StoreEra(2), at(0.seconds))
                .let { absentAt(it, at(10.seconds)) }
                .let { writeAt(it, at(10.seconds)) }
            val restored = absentAt(onNewEra(LeaseState(self), era, at(10.seconds)), at(expiry))
            assertTrue(writeAt(restored, at(expiry)).record.fencing > last.record.fencing)
        }

        @Test
        fun `the holder takes the lease at once, and keeps its token until the earlier lease has expired`() {
            val first = absentAt(LeaseState(self), at(8.seconds))
            val write = writeAt(first, at(8.seconds))
            val sent = rules.onSend(first, write)
            val holding = rules.onObserved(sent, VersionedLease(ObjectVersion(5), write.record), at(8.1.seconds))
            val restored = absentAt(onNewEra(holding, era, at(10.seconds)), at(10.seconds))
            val taken = writeAt(restored, at(10.seconds))
            val granted = rules.onObserved(
                rules.onSend(restored, taken),
                VersionedLease(ObjectVersion(3), taken.record),
                at(10.1.seconds),
            )
            assertEquals(write.record.fencing, validLeaseAt(granted, at(13.9.seconds))?.fencing)
            assertEquals(taken.record.fencing, validLeaseAt(granted, at(14.seconds))?.fencing)
        }
    }
}
