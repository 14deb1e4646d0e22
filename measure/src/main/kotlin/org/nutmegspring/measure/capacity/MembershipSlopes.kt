package org.nutmegspring.measure.capacity

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.membership.MemberReport
import org.nutmegspring.membership.MemberState
import org.nutmegspring.membership.MembershipTable
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ListedState
import org.nutmegspring.protocol.HeartbeatReply
import org.nutmegspring.protocol.HeartbeatRequest
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.protocol.MemberDigest
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** What knowing the other instances costs an instance, by their number. */
internal class MembershipSlopes(private val sizes: List<Int>) {
    /** The memory of the table, in bytes. */
    fun memory(): Slope = Slope.of("membership: memory [B]", "instances", sizes) { size ->
        heapBytes(MEMBERS_TOGETHER / size) { table(size) }
    }

    /** The time to handle the answer to one heartbeat, in microseconds. */
    fun exchangeTime(): Slope = Slope.of("membership: one heartbeat [us]", "instances", sizes) { size ->
        val table = table(size)
        medianMicroseconds(TRIALS, EXCHANGES) {
            table.mergeReplies(table.digest(MonotonicTime.ZERO), MonotonicTime.ZERO)
            table.heartbeatTargets(MonotonicTime.ZERO)
        }
    }

    /** The bytes of one heartbeat and its answer. */
    @OptIn(ExperimentalSerializationApi::class)
    fun exchangeBytes(): Slope = Slope.of("membership: one heartbeat [B]", "instances", SMALL_SIZES) { size ->
        val reports = table(size).digest(MonotonicTime.ZERO).map { digest(it) }
        val request = Cbor.encodeToByteArray<InnerRequest>(HeartbeatRequest(reports.first(), emptyList()))
        val reply = Cbor.encodeToByteArray<InnerReply>(HeartbeatReply(reports, emptyList()))
        (request.size + reply.size + FRAMES_BYTES).toDouble()
    }

    private fun table(size: Int): MembershipTable {
        val table = MembershipTable(InstanceId("entry-0"))
        val states = (1..size).map { state(it) }
        table.updateListing(states.map { listed(it) }, MonotonicTime.ZERO)
        table.mergeReplies(states.map { MemberReport(it, BEAT) }, MonotonicTime.ZERO)
        return table
    }

    private fun state(number: Int) = MemberState(
        InstanceId("entry-$number"),
        Incarnation(INCARNATION + number),
        DataCentreId("centre-${number % DATA_CENTRES}"),
        "10.0.${number / OCTET}.${number % OCTET}:8080",
        "10.0.${number / OCTET}.${number % OCTET}:9080",
        InstancePhase.READY,
        load = HALF_LOAD,
        revision = Revision(REVISION),
        evidenceAge = Duration.ZERO,
        storeEvidenceAge = Duration.ZERO,
    )

    private fun listed(state: MemberState) =
        ListedInstance(state.id, state.dataCentre, state.callerAddress, state.innerAddress, ListedState.LIVE)

    private fun digest(report: MemberReport): MemberDigest = with(report.state) {
        MemberDigest(
            id,
            incarnation,
            report.sequence,
            dataCentre,
            callerAddress,
            innerAddress,
            phase,
            load.toFloat(),
            revision,
            ageMilliseconds = 500,
            storeAgeMilliseconds = 500,
        )
    }

    private companion object {
        const val MEMBERS_TOGETHER = 156_000
        const val TRIALS = 5
        const val BEAT = 1_000L
        const val INCARNATION = 7_000_000_000_000_000_000
        const val HALF_LOAD = 0.5
        const val REVISION = 1_000_000L
        const val EXCHANGES = 200
        const val DATA_CENTRES = 12
        const val OCTET = 250
        const val FRAMES_BYTES = 80
        val SMALL_SIZES = listOf(4, 8, 16, 24, 32)
    }
}
