package org.nutmegspring.spending

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/** Why the targets are what they are. */
enum class SizingReason {
    /** The demand is not known, or not to be followed: the whole range is ordered. */
    WHOLE_RANGE,

    /** Engines refused work lately: the whole range is ordered. */
    OVERLOADED,

    /** The targets suffice, or a change is not worth an order. */
    KEPT,

    /** The demand has grown. */
    RAISED,

    /** A data centre has lost its interruptible endpoints, and others run more instead. */
    REPLACED,

    /** The demand is lower than what the targets stand for. */
    LOWERED,
}

/**
 * The targets of a service, with what they were computed from.
 *
 * @property replacedElsewhere data centres whose lost interruptible endpoints are covered by the targets of others
 * @property requirement null when no demand is known
 */
data class SizingDecision(
    val targets: Map<DataCentreId, EndpointCounts>,
    val reason: SizingReason,
    val demand: FleetDemand? = null,
    val requirement: EndpointRequirement? = null,
    val replacedElsewhere: Set<DataCentreId> = emptySet(),
)

/**
 * Follows the demand on the engines of one service with the target numbers of endpoints.
 *
 * A swing of the demand is shorter than an order takes, so the peak of the last swings counts. Targets rise at once.
 * They fall in one data centre at a time, the one where it saves most, since each released engine loses its cache and
 * the others then prefill its prompts again: what that adds to the demand is measured before the next step. They do not
 * fall while endpoints are missing somewhere, before the demand of a whole swing is known, or soon after they rose.
 */
class DemandSizing(
    private val wholeRange: FleetSizing = FleetSizing(),
    private val capacity: EngineCapacity = EngineCapacity(),
) {
    private var held: Map<DataCentreId, EndpointCounts>? = null
    private val raisedAt = HashMap<DataCentreId, MonotonicTime>()
    private val reached = HashSet<DataCentreId>()
    private var lowerableFrom: MonotonicTime? = null

    /**
     * Returns the targets at [now] for the data centres of [running], or null when the operators' own numbers apply.
     *
     * @param slots the slots of an engine, null for a plain service, whose whole range is ordered
     * @param demand null when none was measured
     */
    fun update(
        policy: ScalingPolicy,
        slots: Int?,
        running: Map<DataCentreId, EndpointCounts>,
        demand: FleetDemand?,
        now: MonotonicTime,
    ): SizingDecision? {
        val whole = wholeRange.computeTargets(policy, running.keys)?.takeIf { it.isNotEmpty() } ?: return null
        val decision = if (policy.isSizedByDemand && slots != null && demand != null) {
            follow(demand, slots, Range(policy, whole, running), now)
        } else {
            SizingDecision(whole, SizingReason.WHOLE_RANGE)
        }
        pauseLowering(decision.reason, now)
        hold(decision.targets, now)
        return decision
    }

    private fun follow(demand: FleetDemand, slots: Int, range: Range, now: MonotonicTime): SizingDecision {
        if (held == null) {
            hold(if (demand.isComplete) range.limitToRunning(range.whole) else range.whole, now)
            lowerableFrom = now + PAUSE_AFTER_RAISE
        }
        val maximum = range.whole.values.sumOf { it.steady + it.interruptible }
        val required = capacity.computeRequirement(demand, slots, maximum)
        if (demand.refusedShare > MAXIMUM_REFUSED_SHARE) {
            return SizingDecision(range.whole, SizingReason.OVERLOADED, demand, required)
        }
        val current = range.whole.mapValues { (dataCentre, counts) -> held?.get(dataCentre) ?: counts }
        val withMargin = capacity.computeRequirement(demand.scaled(CHANGE_MARGIN), slots, maximum)
        val fleet = Fleet(range, current, findLost(range, current, now))
        val canLower = demand.isComplete && fleet.lost.isEmpty() && lowerableFrom?.let { now >= it } ?: true
        val decision = when {
            !fleet.meets(required) -> fleet.raise(withMargin)
            canLower -> fleet.lower(withMargin)
            else -> null
        } ?: SizingDecision(current, SizingReason.KEPT, replacedElsewhere = fleet.lost)
        return decision.copy(demand = demand, requirement = required)
    }

    private fun pauseLowering(reason: SizingReason, now: MonotonicTime) {
        lowerableFrom = when (reason) {
            SizingReason.OVERLOADED -> now + PAUSE_AFTER_OVERLOAD
            SizingReason.RAISED, SizingReason.REPLACED -> now + PAUSE_AFTER_RAISE
            SizingReason.LOWERED -> now + PAUSE_AFTER_LOWERING
            SizingReason.WHOLE_RANGE, SizingReason.KEPT -> lowerableFrom
        }
    }

    private fun hold(targets: Map<DataCentreId, EndpointCounts>, now: MonotonicTime) {
        targets.forEach { (dataCentre, counts) ->
            val before = held?.get(dataCentre)
            if (before == null || counts.interruptible > before.interruptible) {
                raisedAt[dataCentre] = now
                reached -= dataCentre
            }
        }
        // A data centre without any listed endpoint keeps its target until it is listed again.
        held = held.orEmpty() + targets
    }

    /** Returns the data centres that miss more interruptible endpoints than a replacement or a start explains. */
    private fun findLost(
        range: Range,
        targets: Map<DataCentreId, EndpointCounts>,
        now: MonotonicTime,
    ): Set<DataCentreId> = targets.filter { (dataCentre, target) ->
        val missing = target.interruptible - range.countRunning(dataCentre)
        val isMissing = missing > maxOf(1, (target.interruptible * TOLERATED_SHARE).toInt())
        if (!isMissing) reached += dataCentre
        val startsSince = raisedAt[dataCentre] ?: now
        val startTime = range.policy.startUpTime * START_UP_FACTOR + START_MARGIN
        isMissing && (dataCentre in reached || now - startsSince >= startTime)
    }.keys

    /** The [whole] range that may be ordered, and what runs of it. */
    private class Range(
        val policy: ScalingPolicy,
        val whole: Map<DataCentreId, EndpointCounts>,
        private val running: Map<DataCentreId, EndpointCounts>,
    ) {
        fun countRunning(dataCentre: DataCentreId): Int = running[dataCentre]?.interruptible ?: 0

        /** Ordered endpoints that do not run yet, or whose order was refused, allow no other to be released. */
        fun limitToRunning(counts: Map<DataCentreId, EndpointCounts>): Map<DataCentreId, EndpointCounts> =
            counts.mapValues { (dataCentre, target) ->
                target.copy(interruptible = minOf(target.interruptible, countRunning(dataCentre)))
            }
    }

    /** The endpoints of one moment. [lost] names data centres whose interruptible endpoints are missing. */
    private class Fleet(
        private val range: Range,
        private val targets: Map<DataCentreId, EndpointCounts>,
        val lost: Set<DataCentreId>,
    ) {
        private val policy = range.policy
        private val whole = range.whole
        private val steady = targets.values.sumOf { it.steady }

        /** Whether the targets meet [requirement], in a data centre with a loss those that run. */
        fun meets(requirement: EndpointRequirement): Boolean = meets(requirement, targets)

        private fun meets(requirement: EndpointRequirement, counts: Map<DataCentreId, EndpointCounts>): Boolean {
            val interruptible = counts.map { (dataCentre, target) -> limit(dataCentre, target.interruptible) }
            val total = steady + interruptible.sum()
            val isLossCovered = lost.isNotEmpty() || total - interruptible.max() >= requirement.afterLoss
            return total >= requirement.total && isLossCovered
        }

        private fun limit(dataCentre: DataCentreId, count: Int): Int =
            if (dataCentre in lost) minOf(count, range.countRunning(dataCentre)) else count

        /** Returns higher targets that meet [requirement], or the whole range, where the data centres have it. */
        fun raise(requirement: EndpointRequirement): SizingDecision {
            val limits = whole.mapValues { (dataCentre, counts) -> limit(dataCentre, counts.interruptible) }
            // While one data centre is lost, the others need not cover the loss of a second one.
            val needed = if (lost.isEmpty()) requirement else requirement.copy(afterLoss = 0)
            val plan = InterruptibleRange(policy, limits, steady).findCheapest(needed)
            val raised = targets.mapValues { (dataCentre, target) ->
                val planned = plan?.getValue(dataCentre) ?: whole.getValue(dataCentre).interruptible
                target.copy(interruptible = maxOf(target.interruptible, planned))
            }
            val reason = when {
                raised == targets -> SizingReason.KEPT
                lost.isEmpty() -> SizingReason.RAISED
                else -> SizingReason.REPLACED
            }
            return SizingDecision(raised, reason, replacedElsewhere = if (plan == null) emptySet() else lost)
        }

        /** Returns lower targets in one data centre that still meet [requirement], or null when none is worth it. */
        fun lower(requirement: EndpointRequirement): SizingDecision? {
            val limits = whole.mapValues { it.value.interruptible }
            val plan = InterruptibleRange(policy, limits, steady).findCheapest(requirement) ?: return null
            return targets.keys.map { dataCentre ->
                val target = targets.getValue(dataCentre)
                dataCentre to target.copy(interruptible = minOf(target.interruptible, plan.getValue(dataCentre)))
            }.filter { (dataCentre, lowered) ->
                val released = targets.getValue(dataCentre).interruptible - lowered.interruptible
                released >= maxOf(2.0, limits.getValue(dataCentre) * MINIMUM_RELEASED_SHARE) &&
                    meets(requirement, range.limitToRunning(targets + (dataCentre to lowered)))
            }.maxByOrNull { (dataCentre, lowered) ->
                (targets.getValue(dataCentre).interruptible - lowered.interruptible) * policy.findPrice(dataCentre)
            }?.let { SizingDecision(targets + it, SizingReason.LOWERED) }
        }

        private companion object {
            /** An order is priced like some endpoint seconds, and a released engine loses its cache. */
            const val MINIMUM_RELEASED_SHARE = 0.1
        }
    }

    private companion object {
        /** Above the share that a few late prompts amount to. Fewer engines would refuse more. */
        const val MAXIMUM_REFUSED_SHARE = 0.05
        val PAUSE_AFTER_OVERLOAD = 15.seconds
        val PAUSE_AFTER_RAISE = 10.seconds

        /** Reports take 1 to 2 s to tell of prompts whose cached parts are prefilled again. */
        val PAUSE_AFTER_LOWERING = 3.seconds

        /** Targets are set for a demand that is higher by this factor, so that they need not rise again soon. */
        const val CHANGE_MARGIN = 1.15

        /** Endpoints are replaced one by one in normal operation. */
        const val TOLERATED_SHARE = 0.25
        const val START_UP_FACTOR = 2
        val START_MARGIN = 2.seconds
    }
}
