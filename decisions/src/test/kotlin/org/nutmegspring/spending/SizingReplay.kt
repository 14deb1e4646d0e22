package org.nutmegspring.spending

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.time.MonotonicTime
import kotlin.math.PI
import kotlin.math.ceil
import kotlin.math.sin
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests with a prompt of [sharedTokens] that others share and [ownTokens] of their own. Times in milliseconds. */
internal class PromptKind(
    val sharedTokens: Int,
    val ownTokens: Int,
    val requestsPerSecond: Double,
    val objective: Double,
    val prefixes: Int,
    private val swing: Double = 0.0,
    private val period: Double = 1.0,
) {
    /** Returns the requests per second at [milliseconds] of the day. */
    fun rateAt(milliseconds: Long): Double =
        requestsPerSecond * (1 + swing * sin(2 * PI * milliseconds / 1000 / period))
}

/** A day of a deployment. [speedFactors] are drawn for each engine; [isNoisy] slows some engines down for moments. */
internal class ReplayedDay(
    val name: String,
    val policy: ScalingPolicy,
    val slots: Int,
    val tokensPerMillisecond: Double,
    val instances: Int,
    val kinds: List<PromptKind>,
    val speedFactors: List<Double> = listOf(1.0),
    val isNoisy: Boolean = false,
    val length: Long = 45_000,
    val lossAt: Long = 22_000,
    val lossEndsAt: Long = 34_000,
) {
    val dataCentres: List<DataCentreId> get() = policy.prices.keys.toList()
    val lostDataCentre: DataCentreId get() = dataCentres.first()
}

/** The targets of a rule at one moment. */
internal class RuleTargets(
    val targets: Map<DataCentreId, EndpointCounts>,
    val replacedElsewhere: Set<DataCentreId> = emptySet(),
)

/** A rule that sets targets from what runs and from the demand that was measured. */
internal fun interface SizingRule {
    fun decide(running: Map<DataCentreId, EndpointCounts>, demand: FleetDemand?, milliseconds: Long): RuleTargets
}

/** What a day under one rule came to. */
internal data class ReplayResult(
    val price: Double,
    val exceededMilliseconds: Long,
    val orders: Int,
    val requests: Int,
    val refused: Int,
    val late: Int,
    val recomputedTokens: Long,
    val leastEndpoints: Int,
) {
    val inTimeShare: Double get() = 1 - (refused + late).toDouble() / requests
}

/**
 * Plays a day in steps of 100 ms. Engines prefill in the order of arrival and keep the prefixes that they prefilled. A
 * prompt goes to the cheapest of the engines that hold its prefix and of some others, and is refused when it would wait
 * for 0.7 of the shortest objective, as in the gateway. Reports of the demand are late, and some are lost.
 */
internal class SizingReplay(private val day: ReplayedDay, private val rule: SizingRule, seed: Long) {
    private class Engine(
        val dataCentre: DataCentreId,
        val isInterruptible: Boolean,
        val isPrefill: Boolean,
        val servesFrom: Long,
        val speed: Double,
    ) {
        val prefixes = HashSet<Int>()
        var freeAt = 0.0
        var slowUntil = 0L
    }

    private class Report(val instance: Int, val counts: DemandCounts, val countedAt: Long, val arrivesAt: Long)

    private val traffic = Random(seed)
    private val chance = Random(seed + 1)
    private val engines = ArrayList<Engine>()
    private val planner = FleetOrderPlanner(day.policy.maxEndpoints, day.policy.startUpTime)
    private val estimate = FleetDemandEstimate()
    private val counts = Array(day.instances) { DemandCounts() }
    private val reports = ArrayList<Report>()
    private val shortestObjective = day.kinds.minOf { it.objective }
    private var created = 0
    private var price = 0.0
    private var exceeded = 0L
    private var orders = 0
    private var requests = 0
    private var refused = 0
    private var late = 0
    private var recomputed = 0L
    private var least = Int.MAX_VALUE
    private var windowTokens = 0.0
    private var windowCapacity = 0.0

    fun run(): ReplayResult {
        val whole = checkNotNull(FleetSizing().computeTargets(day.policy, day.dataCentres.toSet()))
        whole.forEach { (dataCentre, target) ->
            repeat(target.steady) { engines += create(dataCentre, isInterruptible = false, servesFrom = 0) }
            repeat(target.interruptible) { engines += create(dataCentre, isInterruptible = true, servesFrom = 0) }
        }
        for (now in 0 until day.length step STEP) {
            if (now == day.lossAt) engines.removeAll { it.isInterruptible && it.dataCentre == day.lostDataCentre }
            if (now % ORDER_INTERVAL == 0L) sendOrders(now)
            serve(now)
            exchangeReports(now)
            account(now)
        }
        return ReplayResult(price, exceeded, orders, requests, refused, late, recomputed, least)
    }

    private fun create(dataCentre: DataCentreId, isInterruptible: Boolean, servesFrom: Long): Engine {
        val speed = day.tokensPerMillisecond * day.speedFactors.random(chance)
        return Engine(dataCentre, isInterruptible, isPrefill = ++created % DECODE_EVERY != 0, servesFrom, speed)
    }

    private fun time(milliseconds: Long) = MonotonicTime.ZERO + milliseconds.milliseconds

    private fun sendOrders(now: Long) {
        val serving = engines.filter { it.servesFrom <= now }
        val running = day.dataCentres.associateWith { dataCentre ->
            val here = serving.filter { it.dataCentre == dataCentre }
            EndpointCounts(here.count { !it.isInterruptible }, here.count { it.isInterruptible })
        }
        estimate.sample(day.instances, time(now))
        val decided = rule.decide(running, estimate.read(time(now)), now)
        planner.planOrders(decided.targets, running, isIdle = false, time(now), decided.replacedElsewhere).forEach {
            orders++
            planner.recordSent(it, carryOut(it, now), time(now))
        }
    }

    private fun carryOut(order: CountOrder, now: Long): Boolean {
        val isUnavailable = now in day.lossAt until day.lossEndsAt
        if (order.isInterruptible && order.dataCentre == day.lostDataCentre && isUnavailable) return false
        val present = engines.filter {
            it.dataCentre == order.dataCentre && it.isInterruptible == order.isInterruptible
        }
        val startUp = day.policy.startUpTime.inWholeMilliseconds
        repeat(order.count - present.size) {
            engines += create(order.dataCentre, order.isInterruptible, servesFrom = now + startUp)
        }
        present.shuffled(chance).take(maxOf(0, present.size - order.count)).forEach { engines -= it }
        return true
    }

    private fun serve(now: Long) {
        if (day.isNoisy) slowDown(now)
        val serving = engines.filter { it.servesFrom <= now && it.isPrefill }
        for ((index, kind) in day.kinds.withIndex()) {
            repeat(drawArrivals(kind.rateAt(now) * STEP / 1000)) {
                val arrivedAt = now + traffic.nextDouble() * STEP
                val prefix = index * PREFIX_STRIDE + traffic.nextInt(kind.prefixes)
                place(kind, prefix, arrivedAt, traffic.nextInt(day.instances), serving)
            }
        }
        windowCapacity += serving.sumOf { speedOf(it, now) } * STEP
    }

    private fun slowDown(now: Long) = engines.forEach { engine ->
        // 15 in 100 engines are slow at a time, for 600 ms.
        val isSlowed = chance.nextDouble() < 0.15 * STEP / 600 / 0.85
        if (engine.slowUntil <= now && isSlowed) engine.slowUntil = now + 600
    }

    private fun speedOf(engine: Engine, now: Long) = if (engine.slowUntil > now) engine.speed / 2.5 else engine.speed

    private fun place(kind: PromptKind, prefix: Int, arrivedAt: Double, instance: Int, serving: List<Engine>) {
        val some = List(SEEN_ENGINES) { serving.random(traffic) }
        val engine = (serving.filter { prefix in it.prefixes } + some).minBy { candidate ->
            val missing = if (prefix in candidate.prefixes) 0 else kind.sharedTokens
            waitAt(candidate, arrivedAt) + (kind.ownTokens + 1.5 * missing) / candidate.speed
        }
        val isCached = prefix in engine.prefixes
        val tokens = kind.ownTokens + if (isCached) 0 else kind.sharedTokens
        val isRefused = waitAt(engine, arrivedAt) > shortestObjective * 0.7
        requests++
        windowTokens += tokens
        counts[instance] = counts[instance].let {
            DemandCounts(
                it.promptTokens + tokens,
                it.outputMilliseconds + 250,
                it.refusedTokens + if (isRefused) tokens else 0,
            )
        }
        if (isRefused) {
            refused++
            return
        }
        if (!isCached) recomputed += kind.sharedTokens
        engine.prefixes += prefix
        val endsAt = arrivedAt + waitAt(engine, arrivedAt) + tokens / speedOf(engine, arrivedAt.toLong())
        engine.freeAt = endsAt
        if (endsAt + HANDOVER - arrivedAt > kind.objective) late++
    }

    private fun waitAt(engine: Engine, milliseconds: Double) = maxOf(0.0, engine.freeAt - milliseconds)

    /** Draws a number of arrivals by Knuth's method. */
    private fun drawArrivals(mean: Double): Int {
        val limit = kotlin.math.exp(-mean)
        var product = traffic.nextDouble()
        var drawn = 0
        while (product > limit) {
            product *= traffic.nextDouble()
            drawn++
        }
        return drawn
    }

    private fun exchangeReports(now: Long) {
        counts.indices.filter { (now + it * STEP) % REPORT_INTERVAL == 0L }.forEach {
            val isLost = chance.nextDouble() < 0.05
            if (!isLost) reports += Report(it, counts[it], now, now + 100 + chance.nextLong(600))
        }
        val arrived = reports.filter { it.arrivesAt <= now }.sortedBy { it.countedAt }
        reports -= arrived.toSet()
        arrived.forEach {
            val process = Incarnation(it.instance.toLong())
            estimate.record(process, it.counts, it.countedAt.milliseconds, 5.seconds, time(now))
        }
    }

    private fun account(now: Long) {
        price += engines.sumOf {
            val ratio = if (it.isInterruptible) checkNotNull(day.policy.interruptiblePriceRatio) else 1.0
            ratio * day.policy.findPrice(it.dataCentre)
        } * STEP / 1000
        least = minOf(least, engines.count { it.servesFrom <= now })
        if ((now + STEP) % DEMAND_WINDOW != 0L) return
        if (windowTokens > windowCapacity) exceeded += DEMAND_WINDOW
        windowTokens = 0.0
        windowCapacity = 0.0
    }

    companion object {
        const val STEP = 100L
        const val ORDER_INTERVAL = 500L
        const val REPORT_INTERVAL = 1_200L
        const val DEMAND_WINDOW = 500L

        /** A fifth of the engines decodes. */
        const val DECODE_EVERY = 5
        const val PREFIX_STRIDE = 1_000
        const val SEEN_ENGINES = 6

        /** The transfer to the decode engine and the first step there. */
        const val HANDOVER = 40.0

        /** The present rule: the whole range, always. */
        fun presentRule(day: ReplayedDay) = SizingRule { running, _, _ ->
            RuleTargets(checkNotNull(FleetSizing().computeTargets(day.policy, running.keys)))
        }

        /** The rule that follows the demand. */
        fun demandRule(day: ReplayedDay): SizingRule {
            val sizing = DemandSizing()
            return SizingRule { running, demand, now ->
                val at = MonotonicTime.ZERO + now.milliseconds
                val decision = checkNotNull(sizing.update(day.policy, day.slots, running, demand, at))
                RuleTargets(decision.targets, decision.replacedElsewhere)
            }
        }

        /** An oracle that knows the rates of the day and the loss, and needs no headroom for either. */
        fun oracle(day: ReplayedDay) = SizingRule { running, _, now ->
            val whole = checkNotNull(FleetSizing().computeTargets(day.policy, running.keys))
            val horizon = now..now + day.policy.startUpTime.inWholeMilliseconds + 8_000
            val tokens = horizon.step(STEP).maxOf { at -> day.kinds.sumOf { it.rateAt(at) * it.ownTokens } / 1000 }
            val needed = ceil(tokens / day.tokensPerMillisecond / ORACLE_UTILIZATION / (1 - 1.0 / DECODE_EVERY)).toInt()
            val steady = whole.values.sumOf { it.steady }
            val limits = whole.mapValues { it.value.interruptible }
            val limitsInLoss = limits + (day.lostDataCentre to 0)
            val startUp = horizon.last - now

            fun plan(within: Map<DataCentreId, Int>) =
                InterruptibleRange(day.policy, within, steady).findCheapest(EndpointRequirement(needed, 0)) ?: within
            // Around the loss the data centre that loses its endpoints and the others overlap by a start.
            val isWithLost = now < day.lossAt || now >= day.lossEndsAt
            val isWithoutLost = now + startUp >= day.lossAt && now < day.lossEndsAt + startUp
            val plans = listOfNotNull(plan(limits).takeIf { isWithLost }, plan(limitsInLoss).takeIf { isWithoutLost })
            val planned = limits.mapValues { (dataCentre, _) -> plans.maxOf { it.getValue(dataCentre) } }
            RuleTargets(
                whole.mapValues { (dataCentre, target) ->
                    target.copy(interruptible = planned.getValue(dataCentre))
                },
            )
        }

        const val ORACLE_UTILIZATION = 0.5
    }
}
