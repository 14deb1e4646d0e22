package org.nutmegspring.execution

import arrow.core.Either
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition

/** The state of a claim as known to one attempt. */
sealed interface ClaimState {
    /** The attempt owns the claim, whose record is at [version], and may run the request. */
    data class Owned(val version: ObjectVersion) : ClaimState

    /** Another attempt owns the claim. */
    data class Foreign(val record: ClaimRecord, val version: ObjectVersion) : ClaimState

    /** The store contains a record that cannot be decoded. */
    data object Unreadable : ClaimState

    /** The write may have taken effect or may still do so. Write again with [condition], or give up for good. */
    data class Unsettled(val condition: WriteCondition) : ClaimState

    /** The store refused the write, which will never take effect. */
    data object Refused : ClaimState
}

/** Returns the state of the claim after writing the record of [own] under [condition] ended with [result]. */
fun claimStateAfterWrite(
    own: Claimant,
    condition: WriteCondition,
    result: Either<StoreFailure, ObjectVersion>,
): ClaimState = result.fold(
    { failure ->
        when (failure) {
            is StoreFailure.Conflict -> stateOf(own, failure.current)
            is StoreFailure.Refused -> ClaimState.Refused
            is StoreFailure.Unanswered, is StoreFailure.EraChanged -> ClaimState.Unsettled(condition)
        }
    },
    { ClaimState.Owned(it) },
)

/** Returns the state of the claim of [own] when the store contains [current]. */
private fun stateOf(own: Claimant, current: VersionedObject?): ClaimState {
    if (current == null) return ClaimState.Unsettled(WriteCondition.Absent)
    val record = decodeClaim(current.value) ?: return ClaimState.Unreadable
    val isOwn = record.claimant == own
    return if (isOwn) ClaimState.Owned(current.version) else ClaimState.Foreign(record, current.version)
}
