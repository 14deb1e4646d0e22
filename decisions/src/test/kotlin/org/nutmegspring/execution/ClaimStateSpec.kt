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

    private fun after(failure: StoreFailure) = claimStateAfterWrite(own, WriteCondition.Absent, failure.left())

    @Nested
    inner class `given a write of a claim` {
        @Test
        fun `the claim is owned when the write took effect`() {
            val state = claimStateAfterWrite(own, WriteCondition.Absent, ObjectVersion(4).right())
            assertEquals(ClaimState.Owned(ObjectVersion(4)), state)
        }

        @Test
        fun `the claim is owned when the reply was lost and the store contains its own record`() {
            assertEquals(ClaimState.Owned(ObjectVersion(9)), after(conflictWith(own)))
        }

        @Test
        fun `a claim by an earlier attempt or an earlier process of the same instance is foreign`() {
            listOf(own.copy(sequence = 2), own.copy(incarnation = Incarnation(4))).forEach { other ->
                val expected = ClaimState.Foreign(ClaimRecord(other, "d"), ObjectVersion(9))
                assertEquals(expected, after(conflictWith(other)))
            }
        }

        @Test
        fun `the claim stays unsettled when the write is unanswered`() {
            assertEquals(ClaimState.Unsettled(WriteCondition.Absent), after(unanswered))
        }

        @Test
        fun `a malformed record is unreadable and not owned`() {
            val broken = StoreFailure.Conflict(VersionedObject(id.objectKey, ObjectVersion(9), "{"))
            assertEquals(ClaimState.Unreadable, after(broken))
        }
    }

    @Nested
    inner class `given the key of a record` {
        @Test
        fun `differs between organisations and belongs to exactly one shard`() {
            val other = ClaimId(OrganisationId("festival"), IdempotencyKey("k"))
            assertNotEquals(id.objectKey, other.objectKey)
            assertEquals(1, claimShardPrefixes().count { id.objectKey.value.startsWith(it.value) })
        }
    }
}
