package org.nutmegspring.placement

import org.nutmegspring.admission.QueueWaitDecision
import org.nutmegspring.admission.QueueWaitLimit
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.math.PI
import kotlin.math.cos
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A class of prompts, with [prefixes] different shared prefixes whose popularity falls with their rank. */
internal class PromptClass(
    val sharedTokens: Int,
    val ownTokens: Int,
    val requestsPerSecond: Double,
    val objectiveMilliseconds: Double,
    val prefixes: Int,
)

/**
 * A fleet under load; [prefillEngines] excludes those that generate, and prompts arrive at [trough] to [surge] times
 * their rate. Times are in milliseconds.
 */
internal data class ReplayCase(
    val name: String,
    val instances: Int,
    val prefillEngines: Int,
    val tokensPerMillisecond: Double,
    val cacheTokens: Long,
    val classes: List<PromptClass>,
    val trough: Double = 1.0,
    val surge: Double = 3.0,
    val reports: ReplayReports = ReplayReports(),
    val slowEngines: Int = 0,
    val lossAt: Double? = 20_000.0,
    val replacementAt: Double = 24_000.0,
    val end: Double = 40_000.0,
    val seed: Int = 5,
)

/**
 * How the instances report to each other: [lostShare] of the reports do not arrive. The entries of a report are those
 * of the slowest link, 7 Mbit/s, with 59 other instances.
 */
internal data class ReplayReports(
    val interval: Double = 600.0,
    val delay: Double = 600.0,
    val loads: Int = 4,
    val prefills: Int = 2,
    val lostShare: Double = 0.0,
)

/** What an instance decides with; each instance of the replay has its own. */
internal fun interface ReplayRule {
    fun plan(request: PlacementRequest, candidates: List<EngineCandidate>, now: MonotonicTime): EnginePlan?
}

/** The figures of one replay. */
internal class ReplayResult(
    val case: ReplayCase,
    private val offered: List<Offered>,
    private val repeated: List<Pair<Double, Int>>,
    val busiestOverMean: Double,
) {
    class Offered(val at: Double, val isOnTime: Boolean)

    val repeatedTokens: Long get() = repeated.sumOf { it.second.toLong() }

    val onTime: Double get() = onTimeBetween(0.0, case.end)

    fun onTimeBetween(from: Double, until: Double): Double =
        offered.filter { it.at in from..until }.let { all -> all.count { it.isOnTime }.toDouble() / all.size }

    fun describe(rule: String): String {
        val loss = case.lossAt ?: case.end
        val phases = listOf(5_000.0, loss, case.replacementAt, case.replacementAt + 5_000, case.end)
            .zipWithNext { from, until -> "%.3f".format(onTimeBetween(from, until)) }
        return "%s, %s: %,d thousand shared tokens prefilled again; ".format(case.name, rule, repeatedTokens / 1_000) +
            "on time %.3f (before the loss, until the replacement, 5 s after it, then: %s); ".format(onTime, phases) +
            "busiest engine over mean %.2f".format(busiestOverMean)
    }
}

/**
 * Replays prompts at instances that each see an equal part of them and place them at engines.
 *
 * An engine prefills first in, first out and keeps what it prefilled in a cache that evicts the least recently used.
 * An instance knows its own requests at once, and those of others from reports that name a few loads and prompts. In
 * the middle half of the engines end, and some seconds later empty ones take their place; each instance learns of
 * either up to half a second later. A request to an engine that has ended is placed again.
 */
internal class PlacementReplay(private val case: ReplayCase, private val createRule: (Int) -> ReplayRule) {
    private val random = Random(case.seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var scheduled = 0L
    private var now = 0.0
    private val engines = LinkedHashMap<EndpointId, Engine>()
    private val instances = List(case.instances) { Instance(createRule(it)) }
    private val offered = mutableListOf<ReplayResult.Offered>()
    private val prefilledAnywhere = HashSet<Long>()
    private val repeated = mutableListOf<Pair<Double, Int>>()
    private val limit = QueueWaitLimit()
    private val shortestObjective = case.classes.minOf { it.objectiveMilliseconds }.milliseconds

    private class Event(val at: Double, val order: Long, val run: () -> Unit)

    private class Prompt(val kind: PromptClass, val chain: List<PromptPart>, val at: Double) {
        val tokens = chain.sumOf { it.tokens }
        val shared = chain.dropLast(1)
        val request = PlacementRequest(tokens, kind.sharedTokens, shared.last().chainHash)
    }

    private inner class Engine(val id: EndpointId, val slowdown: Double) {
        val cache = PrefixCacheEstimate(case.cacheTokens)
        var busyUntil = 0.0
        var busyTime = 0.0
        val startedAt = now
        var endedAt: Double? = null

        /** Returns when the prefill of [prompt] ends. */
        fun prefill(prompt: Prompt): Double {
            val cached = cache.countCachedTokens(prompt.chain)
            var start = 0
            for (part in prompt.shared) {
                if (start >= cached && part.chainHash in prefilledAnywhere) repeated += now to part.tokens
                prefilledAnywhere += part.chainHash
                start += part.tokens
            }
            val time = (prompt.tokens - cached) * slowdown / case.tokensPerMillisecond
            busyTime += time
            busyUntil = maxOf(busyUntil, now) + time
            cache.recordPrefill(prompt.chain)
            return busyUntil
        }
    }

    private inner class Known {
        val load = EngineLoad()
        val cache = PrefixCacheEstimate(case.cacheTokens)
        val peerLoads = HashMap<Instance, Pair<Long, Double>>()
    }

    private class Report(
        val loads: List<Pair<EndpointId, Long>>,
        val prefills: List<Pair<EndpointId, List<PromptPart>>>,
    )

    private inner class Instance(private val rule: ReplayRule) {
        val known = LinkedHashMap<EndpointId, Known>()
        private val pending = ArrayDeque<Pair<EndpointId, List<PromptPart>>>()
        private var reportedBusy = emptySet<EndpointId>()

        fun place(prompt: Prompt, excluded: Set<EndpointId> = emptySet()) {
            val candidates = known.filterKeys { it !in excluded }.map { (id, known) -> candidate(id, known, prompt) }
            val request = prompt.request.copy(
                longestWaitMilliseconds = limit.computeMaximumWait(shortestObjective).inWholeMilliseconds.toDouble(),
            )
            val plan = rule.plan(request, candidates + DECODE_ENGINE, MonotonicTime((now * 1e6).toLong()))
            if (plan == null || isRefused(plan)) {
                offered += ReplayResult.Offered(prompt.at, false)
                return
            }
            val id = plan.prefillEngine.id
            val engine = engines.getValue(id)
            if (engine.endedAt != null) {
                schedule(now + 2) { place(prompt, excluded + id) }
            } else {
                send(prompt, engine, excluded)
            }
        }

        private fun isRefused(plan: EnginePlan): Boolean {
            val decision = limit.decide(
                plan.waitMilliseconds.milliseconds,
                plan.expectedFirstOutputMilliseconds.milliseconds,
                shortestObjective,
                2.seconds,
            )
            return decision is QueueWaitDecision.Refuse
        }

        private fun send(prompt: Prompt, engine: Engine, excluded: Set<EndpointId>) {
            val state = known.getValue(engine.id)
            val uncached = (prompt.tokens - state.cache.countCachedTokens(prompt.chain)).toLong()
            if (state.cache.countCachedTokens(prompt.shared) < prompt.kind.sharedTokens) {
                pending += engine.id to prompt.shared
            }
            state.cache.recordPrefill(prompt.chain)
            state.load.addRequest(uncached)
            val end = engine.prefill(prompt)
            schedule(end) {
                state.load.removeTokens(uncached)
                state.load.removeRequest()
                val isLost = engine.endedAt?.let { it < end } ?: false
                val firstOutput = end + TRANSFER_AND_FIRST_STEP
                val isOnTime = firstOutput - prompt.at <= prompt.kind.objectiveMilliseconds
                if (!isLost) offered += ReplayResult.Offered(prompt.at, isOnTime)
            }
            engine.onEnd { if (end > now) place(prompt, excluded + engine.id) }
        }

        private fun candidate(id: EndpointId, known: Known, prompt: Prompt) = EngineCandidate(
            id = id,
            role = EngineRole.PREFILL,
            dataCentre = HERE,
            queuedTokens = known.load.waitingTokens +
                known.peerLoads.values.filter { it.second > now }.sumOf { it.first },
            cachedTokens = known.cache.countCachedTokens(prompt.chain),
            requests = known.load.requests,
            slots = 64,
            slowdown = engines.getValue(id).slowdown,
        )

        fun compose(): Report {
            val busiest = known.entries.filter { it.value.load.requests > 0 }
                .sortedByDescending { it.value.load.waitingTokens }.take(case.reports.loads)
            val ended = reportedBusy - busiest.map { it.key }.toSet()
            reportedBusy = busiest.map { it.key }.toSet()
            val prefills = pending.takeLast(case.reports.prefills)
            pending.clear()
            return Report(busiest.map { it.key to it.value.load.waitingTokens } + ended.map { it to 0L }, prefills)
        }

        fun apply(report: Report, from: Instance) {
            val until = now + maxOf(1_000.0, case.reports.interval)
            report.loads.forEach { (id, tokens) -> known[id]?.peerLoads?.put(from, tokens to until) }
            report.prefills.forEach { (id, chain) -> known[id]?.cache?.recordPrefill(chain) }
        }
    }

    private val endActions = HashMap<EndpointId, MutableList<() -> Unit>>()

    private fun Engine.onEnd(action: () -> Unit) {
        endActions.getOrPut(id) { mutableListOf() } += action
    }

    fun run(): ReplayResult {
        val first = List(case.prefillEngines) { startEngine("p$it", if (it < case.slowEngines) SLOW else 1.0) }
        instances.forEach { instance -> first.forEach { instance.known[it.id] = Known() } }
        case.classes.forEach(::scheduleArrival)
        instances.forEach { instance -> schedule(random.nextDouble() * case.reports.interval) { report(instance) } }
        case.lossAt?.let { loss ->
            schedule(loss) { first.shuffled(random).take(first.size / 2).forEach(::end) }
            schedule(case.replacementAt) { List(first.size / 2) { startEngine("q$it", 1.0) }.forEach(::announce) }
        }
        while (true) {
            val event = events.poll() ?: break
            now = event.at
            event.run()
        }
        return ReplayResult(case, offered, repeated, computeBusiestOverMean())
    }

    private fun schedule(at: Double, run: () -> Unit) {
        events += Event(at, scheduled++, run)
    }

    private fun startEngine(name: String, slowdown: Double): Engine =
        Engine(EndpointId(name), slowdown).also { engines[it.id] = it }

    private fun announce(engine: Engine) = instances.forEach { instance ->
        schedule(now + random.nextDouble() * FEED_DELAY) { instance.known[engine.id] = Known() }
    }

    private fun end(engine: Engine) {
        engine.endedAt = now
        instances.forEach { instance ->
            schedule(now + random.nextDouble() * FEED_DELAY) { instance.known.remove(engine.id) }
        }
        endActions.remove(engine.id).orEmpty().forEach { it() }
    }

    private fun report(instance: Instance) {
        val report = instance.compose()
        schedule(now + case.reports.delay) {
            instances.filter { it !== instance && random.nextDouble() >= case.reports.lostShare }
                .forEach { it.apply(report, instance) }
        }
        if (now < case.end) schedule(now + case.reports.interval) { report(instance) }
    }

    private fun scheduleArrival(kind: PromptClass) {
        val at = now - ln(1 - random.nextDouble()) * 1_000 / (kind.requestsPerSecond * computeSurge(now))
        if (at > case.end) return
        val prefix = pickPrefix(kind)
        val instance = instances[random.nextInt(instances.size)]
        val own = random.nextLong()
        schedule(at) {
            instance.place(createPrompt(kind, prefix, own))
            scheduleArrival(kind)
        }
    }

    private fun computeSurge(at: Double): Double =
        case.trough + (case.surge - case.trough) * (1 - cos(2 * PI * at / SURGE_PERIOD)) / 2

    /** The prefix of rank r is asked for in proportion to 1 / (r + 1). */
    private fun pickPrefix(kind: PromptClass): Int {
        var left = random.nextDouble() * (1..kind.prefixes).sumOf { 1.0 / it }
        for (rank in 0 until kind.prefixes) {
            left -= 1.0 / (rank + 1)
            if (left <= 0) return rank
        }
        return kind.prefixes - 1
    }

    /** A shared prefix is a chain of a part that several prefixes begin with and one of its own. */
    private fun createPrompt(kind: PromptClass, prefix: Int, own: Long): Prompt {
        val root = kind.sharedTokens / 3
        val identifiers = listOf(kind.sharedTokens + prefix % ROOTS, prefix).map { it.toLong() } + own
        val tokens = listOf(root, kind.sharedTokens - root, kind.ownTokens)
        return Prompt(kind, buildPromptChain("m", identifiers, tokens), now)
    }

    /** Compares the time that engines worked, of those that ran from the start to the end. */
    private fun computeBusiestOverMean(): Double {
        val whole = engines.values.filter { it.endedAt == null && it.startedAt == 0.0 }.map { it.busyTime }
        return whole.max() / whole.average()
    }

    private companion object {
        val HERE = DataCentreId("rennes")
        val DECODE_ENGINE = EngineCandidate(EndpointId("d"), EngineRole.DECODE, HERE, 0, 0, 0, 10_000)

        /** A handover takes this long after the prefill, in milliseconds. */
        const val TRANSFER_AND_FIRST_STEP = 40.0

        /** An instance learns of a change of engines after at most this time, in milliseconds. */
        const val FEED_DELAY = 500.0
        const val SLOW = 2.5
        const val SURGE_PERIOD = 12_000.0
        const val ROOTS = 8
    }
}
