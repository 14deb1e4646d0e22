package org.nutmegspring.measure.capacity

import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.limits.LimitSettings
import org.nutmegspring.node.membership.HeartbeatSettings
import kotlin.time.DurationUnit

/** What one role costs an instance and the store at the target size. */
internal data class ControlShare(
    val role: String,
    val coreShare: Double = 0.0,
    val bytes: Double = 0.0,
    val bytesPerSecond: Double = 0.0,
    val storeReadsPerSecond: Double = 0.0,
    val storeWritesPerSecond: Double = 0.0,
) {
    /** Returns the figures of this share for a report. */
    fun figures(): List<Pair<String, Double>> = listOf(
        "target: $role: processor [share of a core]" to coreShare,
        "target: $role: memory [B]" to bytes,
        "target: $role: messages [B/s]" to bytesPerSecond,
        "target: $role: store reads [1/s]" to storeReadsPerSecond,
        "target: $role: store writes [1/s]" to storeWritesPerSecond,
    )
}

/** Works out the shares of the roles from the slopes. */
internal class CapacityModel(private val slopes: MeasuredSlopes) {
    /** Returns the shares of all roles. */
    fun shares(): List<ControlShare> = listOf(configuration(), keys(), limits(), membership(), duties(), lists())

    private fun configuration(): ControlShare {
        val changes = CapacityTarget.CHANGES_PER_DAY / CapacityTarget.SECONDS_PER_DAY
        return ControlShare(
            role = "configuration",
            coreShare = changes * slopes.configurationApply.at(CapacityTarget.ORGANISATIONS) / MICROSECONDS,
            bytes = slopes.configurationMemory.at(CapacityTarget.ORGANISATIONS),
            bytesPerSecond = changes * slopes.changeBytes * COPIES_OF_A_CHANGE,
            storeReadsPerSecond = (CapacityTarget.DATA_CENTRES * READERS_OF_HEAD).toDouble(),
            storeWritesPerSecond = changes * WRITES_OF_A_CHANGE,
        )
    }

    private fun keys() = ControlShare(
        role = "keys",
        coreShare = CapacityTarget.REQUESTS_OF_INSTANCE * slopes.authentication.at(CapacityTarget.ORGANISATIONS) /
            MICROSECONDS,
    )

    /** Every charge whose organisation has its slots elsewhere asks once; an instance answers as many as it asks. */
    private fun limits(): ControlShare {
        val charges = CapacityTarget.REQUESTS_OF_INSTANCE
        val elsewhere = 1 - LimitSettings().slots.toDouble() / CapacityTarget.INSTANCES
        val inUse = CapacityTarget.ORGANISATIONS
        val charge = slopes.limitCharge.at(inUse) * charges * (1 + 2 * elsewhere)
        return ControlShare(
            role = "limits",
            coreShare = (charge + slopes.limitTick.at(inUse) * TICKS_PER_SECOND) / MICROSECONDS,
            bytes = slopes.limitMemory.at(inUse),
            bytesPerSecond = charges * elsewhere * slopes.grantBytes,
        )
    }

    /** The time after which an instance has heard of every other once, in seconds. */
    fun membershipRound(): Double {
        val settings = HeartbeatSettings()
        val beats = settings.fanout / settings.interval.toDouble(DurationUnit.SECONDS)
        return CapacityTarget.INSTANCES / (beats * settings.timing.digestSize)
    }

    private fun membership(): ControlShare {
        val settings = HeartbeatSettings()
        val beats = settings.fanout / settings.interval.toDouble(DurationUnit.SECONDS)
        val digest = settings.timing.digestSize
        val listing = settings.listInterval + settings.listIntervalPerMember * CapacityTarget.INSTANCES
        return ControlShare(
            role = "membership",
            coreShare = 2 * beats * slopes.membershipTime.at(CapacityTarget.INSTANCES) / MICROSECONDS,
            bytes = slopes.membershipMemory.at(CapacityTarget.INSTANCES),
            bytesPerSecond = beats * slopes.membershipBytes.at(digest),
            storeReadsPerSecond = CapacityTarget.INSTANCES / listing.toDouble(DurationUnit.SECONDS),
        )
    }

    private fun duties(): ControlShare {
        val timing = LeaseTiming()
        val duties = CapacityTarget.DATA_CENTRES * DUTIES_OF_DATA_CENTRE + USAGE_SHARDS
        return ControlShare(
            role = "duties",
            storeReadsPerSecond = duties * STAND_BYS / timing.readInterval.toDouble(DurationUnit.SECONDS),
            storeWritesPerSecond = duties / timing.renewInterval.toDouble(DurationUnit.SECONDS),
        )
    }

    private fun lists() = ControlShare(
        role = "endpoint list",
        storeReadsPerSecond = CapacityTarget.INSTANCES / ENDPOINT_LIST_SECONDS,
    )

    private companion object {
        const val MICROSECONDS = 1e6
        const val COPIES_OF_A_CHANGE = 2
        const val WRITES_OF_A_CHANGE = 3
        const val READERS_OF_HEAD = 2
        const val TICKS_PER_SECOND = 10
        const val DUTIES_OF_DATA_CENTRE = 2
        const val USAGE_SHARDS = 64
        const val STAND_BYS = 2
        const val ENDPOINT_LIST_SECONDS = 1.0
    }
}
