package org.nutmegspring.measure.capacity

import org.nutmegspring.measure.Measure
import org.nutmegspring.measure.MeasureRequest
import org.nutmegspring.measure.Progress
import org.nutmegspring.measure.report.Comparison
import org.nutmegspring.measure.report.Goal
import org.nutmegspring.measure.report.MeasureReport
import org.nutmegspring.measure.report.goal
import org.nutmegspring.measure.routing.DecisionSlope
import org.nutmegspring.node.membership.HeartbeatSettings
import kotlin.time.DurationUnit

/** Measures the slopes of the control work and works out from them what an instance spends at the target size. */
class CapacityMeasure : Measure {
    override val name: String = "capacity"

    override val summary: String = "slopes of state, time and messages, and what they come to at the target size"

    override fun run(request: MeasureRequest, progress: Progress): MeasureReport {
        val slopes = MeasuredSlopes(progress)
        val decision = DecisionSlope(request.seed).run(progress)
        val model = CapacityModel(slopes)
        val shares = model.shares()
        return MeasureReport(
            measure = name,
            seed = request.seed,
            parameters = mapOf(
                "instances" to "${CapacityTarget.INSTANCES}",
                "workers" to "${CapacityTarget.WORKERS}",
                "organisations" to "${CapacityTarget.ORGANISATIONS}",
                "requests [1/s]" to "${CapacityTarget.REQUESTS_PER_SECOND}",
            ),
            figures = slopes.figures() + decision.figures + shares.flatMap { it.figures() }.toMap(),
            goals = goals(shares) + goal(
                "membership: time to hear of every instance once [s]",
                Comparison.AT_MOST,
                HeartbeatSettings().timing.suspicionTimeout.toDouble(DurationUnit.SECONDS),
                model.membershipRound(),
            ) + goal(
                "routing: one decision among ${CapacityTarget.WORKERS} engines [us]",
                Comparison.BELOW,
                CapacityTarget.DECISION_MICROSECONDS,
                decision.largestFleetMicroseconds,
            ),
        )
    }

    private fun goals(shares: List<ControlShare>): List<Goal> = listOf(
        goal(
            "control of an instance: processor [share of a core]",
            Comparison.AT_MOST,
            CapacityTarget.CONTROL_CORE_SHARE,
            shares.sumOf { it.coreShare },
        ),
        goal(
            "control of an instance: memory [B]",
            Comparison.AT_MOST,
            CapacityTarget.CONTROL_BYTES,
            shares.sumOf { it.bytes },
        ),
        goal(
            "control of an instance: messages [B/s]",
            Comparison.AT_MOST,
            CapacityTarget.CONTROL_BYTES_PER_SECOND,
            shares.sumOf { it.bytesPerSecond },
        ),
        goal(
            "store: reads [1/s]",
            Comparison.AT_MOST,
            CapacityTarget.STORE_READS_PER_SECOND,
            shares.sumOf { it.storeReadsPerSecond },
        ),
        goal(
            "store: writes [1/s]",
            Comparison.AT_MOST,
            CapacityTarget.STORE_WRITES_PER_SECOND,
            shares.sumOf { it.storeWritesPerSecond },
        ),
    )
}

/** The slopes behind the model. */
internal class MeasuredSlopes(progress: Progress) {
    val configurationMemory: Slope
    val configurationApply: Slope
    val authentication: Slope
    val changeBytes: Int
    val limitMemory: Slope
    val limitCharge: Slope
    val limitTick: Slope
    val grantBytes: Int
    val membershipMemory: Slope
    val membershipTime: Slope
    val membershipBytes: Slope

    init {
        progress.tell("configuration")
        val configuration = ConfigurationSlopes(ORGANISATION_SIZES)
        configurationMemory = configuration.memory()
        configurationApply = configuration.applyTime()
        authentication = configuration.authenticationTime()
        changeBytes = configuration.changeBytes()
        progress.tell("limits")
        val limits = LimitSlopes(ORGANISATION_SIZES)
        limitMemory = limits.memory()
        limitCharge = limits.chargeTime()
        limitTick = limits.tickTime()
        grantBytes = limits.exchangeBytes()
        progress.tell("membership")
        val membership = MembershipSlopes(INSTANCE_SIZES)
        membershipMemory = membership.memory()
        membershipTime = membership.exchangeTime()
        membershipBytes = membership.exchangeBytes()
    }

    /** Returns all figures of the slopes. */
    fun figures(): Map<String, Double> {
        val slopes = listOf(
            configurationMemory,
            configurationApply,
            authentication,
            limitMemory,
            limitCharge,
            limitTick,
            membershipMemory,
            membershipTime,
            membershipBytes,
        )
        return slopes.flatMap { it.figures().entries }.associate { it.key to it.value } + mapOf(
            "configuration: one change [B]" to changeBytes.toDouble(),
            "limits: one grant with its return [B]" to grantBytes.toDouble(),
        )
    }

    private companion object {
        val ORGANISATION_SIZES = listOf(1_500, 3_000, 6_000, 12_000, 24_000)
        val INSTANCE_SIZES = listOf(9, 50, 200, 400, 780)
    }
}
