package org.nutmegspring.execution

import arrow.core.left
import arrow.core.right
import org.junit.jupiter.api.Nested
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class ClaimStateSpec {
    private val own = Claimant(InstanceId("a"), Incarnation(5), 3)
    private val id = ClaimId(OrganisationId("theatre"), IdempotencyKey("k"))
    private val unanswered =
        StoreFailure.Unanswered(Failure(Step.WRITE_OBJECT, Peer.PLATFORM, Effect.UNKNOWN, "no answer"))

    private fun conflictWith(claimant: Claimant): StoreFailure {
        val text = encodeClaim(ClaimRecord(claimant, "d"))
        return StoreFailure.Conflict(VersionedObject(id.objectKey, ObjectVersion(9), text))
    }

    private fun after(failure: StoreFailure) = afterClaimWrite(own, WriteCondition.Absent, failure.left())

    @Nested
    inner class `given a write of a claim` {
        @Test
        fun `it is owned when the write took effect`() {
            val state = afterClaimWrite(own, WriteCondition.Absent, ObjectVersion(4).right())
            assertEquals(ClaimState.Owned(ObjectVersion(4)), state)
        }

        @Test
        fun `it is owned when the record in the store is the own one, whose reply was lost`() {
            assertEquals(ClaimState.Owned(ObjectVersion(9)), after(conflictWith(own)))
        }

        @Test
        fun `an earlier attempt and an earlier process of the same instance are foreign`() {
            listOf(own.copy(sequence = 2), own.copy(incarnation = Incarnation(4))).forEach { other ->
                val expected = ClaimState.Foreign(ClaimRecord(other, "d"), ObjectVersion(9))
                assertEquals(expected, after(conflictWith(other)))
            }
        }

        @Test
        fun `it stays unsettled without an answer`() {
            assertEquals(ClaimState.Unsettled(WriteCondition.Absent), after(unanswered))
        }

        @Test
        fun `a record that cannot be read is not owned`() {
            val broken = StoreFailure.Conflict(VersionedObject(id.objectKey, ObjectVersion(9), "{"))
            assertEquals(ClaimState.Unreadable, after(broken))
        }
    }

    @Nested
    inner class `given the key of a record` {
        @Test
        fun `it differs between organisations and lies in one of the shards`() {
            val other = ClaimId(OrganisationId("festival"), IdempotencyKey("k"))
            assertNotEquals(id.objectKey, other.objectKey)
            assertEquals(1, claimShards().count { id.objectKey.value.startsWith(it.value) })
        }
    }
}
