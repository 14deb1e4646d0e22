package org.nutmegspring.execution

import arrow.core.Either
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition

/** What an attempt knows of its claim. */
sealed interface ClaimState {
    /** The attempt owns the claim, whose record stands at [version], and may run the request. */
    data class Owned(val version: ObjectVersion) : ClaimState

    /** Another attempt owns the claim. */
    data class Foreign(val record: ClaimRecord, val version: ObjectVersion) : ClaimState

    /** The record is in the store but cannot be read. */
    data object Unreadable : ClaimState

    /** The write may have taken effect or may still do so: write again with [condition], or give up for good. */
    data class Unsettled(val condition: WriteCondition) : ClaimState

    /** The store refused the write, which will have no effect. */
    data object Refused : ClaimState
}

/** Returns what [result], of writing the record of [own] under [condition], says of the claim. */
fun afterClaimWrite(
    own: Claimant,
    condition: WriteCondition,
    result: Either<StoreFailure, ObjectVersion>,
): ClaimState = result.fold(
    { failure ->
        when (failure) {
            is StoreFailure.Conflict -> stateOf(own, failure.current)
            is StoreFailure.Refused -> ClaimState.Refused
            is StoreFailure.Unanswered -> ClaimState.Unsettled(condition)
        }
    },
    { ClaimState.Owned(it) },
)

/** Returns what [current], the record as it stands, says of the claim of [own]. */
private fun stateOf(own: Claimant, current: VersionedObject?): ClaimState {
    if (current == null) return ClaimState.Unsettled(WriteCondition.Absent)
    val record = decodeClaim(current.value) ?: return ClaimState.Unreadable
    val isOwn = record.claimant == own
    return if (isOwn) ClaimState.Owned(current.version) else ClaimState.Foreign(record, current.version)
}
