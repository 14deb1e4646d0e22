package org.nutmegspring.node.membership

import org.nutmegspring.membership.MemberReport
import org.nutmegspring.membership.MemberState
import org.nutmegspring.protocol.MemberDigest
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Returns the digest of [report]. Ages are rounded up, so that they remain upper bounds. */
internal fun createDigest(report: MemberReport): MemberDigest {
    val state = report.state
    return MemberDigest(
        id = state.id,
        incarnation = state.incarnation,
        sequence = report.sequence,
        dataCentre = state.dataCentre,
        callerAddress = state.callerAddress,
        innerAddress = state.innerAddress,
        phase = state.phase,
        load = state.load.toFloat(),
        revision = state.revision,
        ageMilliseconds = roundUpToMilliseconds(state.evidenceAge),
        storeAgeMilliseconds = state.storeEvidenceAge?.let(::roundUpToMilliseconds),
    )
}

/** Returns the report that [digest] encodes. */
internal fun createReport(digest: MemberDigest): MemberReport {
    val state = MemberState(
        id = digest.id,
        incarnation = digest.incarnation,
        dataCentre = digest.dataCentre,
        callerAddress = digest.callerAddress,
        innerAddress = digest.innerAddress,
        phase = digest.phase,
        load = digest.load.toDouble(),
        revision = digest.revision,
        evidenceAge = digest.ageMilliseconds.milliseconds,
        storeEvidenceAge = digest.storeAgeMilliseconds?.milliseconds,
    )
    return MemberReport(state, digest.sequence)
}

private fun roundUpToMilliseconds(age: Duration): Int = ceil(age.toDouble(DurationUnit.MILLISECONDS)).toInt()
