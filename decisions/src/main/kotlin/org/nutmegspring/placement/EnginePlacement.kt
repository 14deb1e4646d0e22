package org.nutmegspring.placement

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What an instance knows of one engine when it places a request.
 *
 * @property queuedTokens the prompt tokens that the engine prefills before this request
 * @property cachedTokens the tokens at the start of the prompt that are estimated to be in the engine's prefix cache
 * @property requests the requests in flight at the engine, from all instances
 * @property slots the maximum number of requests that it runs concurrently
 * @property slowdown the ratio of its recent to its expected response time
 */
data class EngineCandidate(
    val id: EndpointId,
    val role: EngineRole,
    val dataCentre: DataCentreId,
    val queuedTokens: Long,
    val cachedTokens: Int,
    val requests: Int,
    val slots: Int,
    val slowdown: Double = 1.0,
)

/**
 * The prompt to place, and how long it may wait.
 *
 * @property promptTokens the tokens of the whole prompt
 * @property sharedTokens the tokens of the prefix that other prompts start with too
 * @property sharedPrefixHash identifies the shared prefix, so that all instances rank the engines for it alike
 * @property longestWaitMilliseconds the wait above which the request would be refused
 * @property prefixShare the share of the shared prefix in the demand; null to place by [PlacementRule.EARLIEST]
 */
data class PlacementRequest(
    val promptTokens: Int,
    val sharedTokens: Int,
    val sharedPrefixHash: Long,
    val longestWaitMilliseconds: Double = Double.MAX_VALUE,
    val prefixShare: Double? = null,
) {
    /** The rule that places the prompt. A prompt without a shared prefix has no engines of its own. */
    val rule: PlacementRule
        get() = if (prefixShare != null && sharedTokens > 0) PlacementRule.SHARED_PREFIX else PlacementRule.EARLIEST
}

/** How the engine that prefills a prompt is chosen. */
enum class PlacementRule {
    /** Any engine, where the first output is expected soonest by what the instance knows. */
    EARLIEST,

    /** One of the few engines that all instances compute for the shared prefix ([PrefixEngines]). */
    SHARED_PREFIX,

    ;

    /** Selects the rule. */
    companion object {
        /** The prefill of 17,000 tokens, as the longest common prompts have, at 60 tokens per millisecond. */
        private val PROMPT_TIME = 300.milliseconds

        /**
         * Returns the rule for a fleet whose instances report to each other every [reportInterval], as far as their
         * number decides that. Reports that come later than a prompt takes name queues that have been worked off, and
         * other instances have meanwhile chosen engines for the same prefixes. With earlier reports an instance knows
         * enough to use any engine. The number of instances is the same for all of them, so that they use one rule.
         */
        fun select(reportInterval: Duration): PlacementRule =
            if (reportInterval > PROMPT_TIME) SHARED_PREFIX else EARLIEST
    }
}

/** The engines that serve a request, and the expected delays. */
sealed interface EnginePlan {
    /** The expected time until the first output token, in milliseconds. */
    val expectedFirstOutputMilliseconds: Double

    /** The expected time until the prefill begins, in milliseconds. */
    val waitMilliseconds: Double

    /** The engine that prefills the prompt, as it was known when the plan was made. */
    val prefillEngine: EngineCandidate

    /** The rule that chose [prefillEngine]. */
    val rule: PlacementRule

    /** One engine prefills the prompt and generates the output. */
    data class Direct(
        override val prefillEngine: EngineCandidate,
        override val waitMilliseconds: Double,
        override val expectedFirstOutputMilliseconds: Double,
        override val rule: PlacementRule = PlacementRule.EARLIEST,
    ) : EnginePlan

    /** [prefillEngine] prefills the prompt, and another engine fetches the KV cache and generates the output. */
    data class Handover(
        override val prefillEngine: EngineCandidate,
        override val waitMilliseconds: Double,
        override val expectedFirstOutputMilliseconds: Double,
        override val rule: PlacementRule = PlacementRule.EARLIEST,
    ) : EnginePlan
}

/**
 * The speeds from which placement estimates delays.
 *
 * @property prefillTokensPerMillisecond the prefill speed of an engine in the prefill or mixed role
 * @property decodeRoleSpeedFactor the prefill speed in the decode role, as a factor of [prefillTokensPerMillisecond]
 * @property cacheBytesPerToken the bytes of KV cache that a handover transfers per prompt token
 * @property linkBytesPerMillisecond the bandwidth of the link between engines
 */
data class EngineSpeeds(
    val prefillTokensPerMillisecond: Double = 60.0,
    val decodeRoleSpeedFactor: Double = 0.5,
    val cacheBytesPerToken: Double = 163_840.0,
    val linkBytesPerMillisecond: Double = 250_000_000.0,
)

/**
 * Chooses engines for prompts.
 *
 * Load pattern: the mix alternates between long prompts with large shared prefixes and short ones, faster than engines
 * can change roles, and prefill is the bottleneck. A request goes where its first output is expected soonest, given the
 * queued tokens and the tokens of its prompt that the engine has not cached. Recomputing a shared prefix costs extra in
 * proportion to the share of busy prefill engines, since it delays other requests only when those engines have work. A
 * prefill engine whose queue exceeds the longest wait is skipped while another has a shorter one, whatever it caches.
 *
 * Outputs come from several instances that do not know each other's latest choices, to engines with few slots. Among
 * engines of about the same cost each instance therefore chooses at random; otherwise all would choose the same one
 * and fill it.
 */
class EnginePlacement(
    private val speeds: EngineSpeeds = EngineSpeeds(),
    private val random: Random = Random.Default,
) {
    /**
     * Returns the plan with the lowest cost for [request], received in data centre [from], or null when no engine can
     * take it.
     */
    fun plan(request: PlacementRequest, candidates: List<EngineCandidate>, from: DataCentreId): EnginePlan? {
        val all = selectByPrefix(request, candidates)
        val prefillEngines = all.filter { it.role == EngineRole.PREFILL }.withFreeSlots()
        val decodeEngines = all.filter { it.role != EngineRole.PREFILL }.withFreeSlots()
        val recomputationWeight = MAX_RECOMPUTATION_WEIGHT *
            computeBusyShare(prefillEngines + decodeEngines.filter { it.role == EngineRole.MIXED })
        val source = prefillEngines.filter { estimateWaitMilliseconds(it) <= request.longestWaitMilliseconds }
            .ifEmpty { prefillEngines }
            .minByOrNull { computePrefillCost(it, request, recomputationWeight) }
        val (direct, directCost) = decodeEngines
            .filter {
                source == null || it.role == EngineRole.MIXED || countUncachedTokens(it, request) <= SMALL_PROMPT_TOKENS
            }
            .cheapest { computeDirectCost(it, request, from, recomputationWeight) }
        val (target, transferCost) = decodeEngines.takeIf { source != null }.orEmpty()
            .cheapest { computeTransferCost(it, checkNotNull(source), request) }
        val handover = source?.let {
            computePrefillCost(it, request, recomputationWeight) + transferCost + PREFILL_CALL_MILLISECONDS
        } ?: Double.MAX_VALUE
        return when {
            direct != null && directCost <= handover -> {
                EnginePlan.Direct(
                    direct,
                    estimateWaitMilliseconds(direct),
                    estimatePrefillMilliseconds(direct, request) + FIRST_STEP_MILLISECONDS,
                    request.rule,
                )
            }

            source != null && target != null -> {
                val expected = estimatePrefillMilliseconds(source, request) +
                    estimateTransferMilliseconds(target, source, request)
                val firstOutput = expected + FIRST_STEP_MILLISECONDS
                EnginePlan.Handover(source, estimateWaitMilliseconds(source), firstOutput, request.rule)
            }

            else -> {
                null
            }
        }
    }

    /**
     * Returns [candidates] without the engines that have no part in prefilling the shared prefix of [request]: of the
     * prefill engines, or of the mixed ones where there are no prefill engines.
     */
    private fun selectByPrefix(request: PlacementRequest, candidates: List<EngineCandidate>): List<EngineCandidate> {
        if (request.rule == PlacementRule.EARLIEST) return candidates
        val role = if (candidates.any { it.role == EngineRole.PREFILL }) EngineRole.PREFILL else EngineRole.MIXED
        val (engines, others) = candidates.partition { it.role == role }
        return others + PrefixEngines.select(engines, request) {
            it.hasFreeSlots() && estimateWaitMilliseconds(it) <= request.longestWaitMilliseconds
        }
    }

    /**
     * Returns the engine that generates the output after [source] has prefilled the prompt, or null when there is none.
     * It is chosen after the prefill, not before, because the prefill may take long and engines may leave meanwhile.
     */
    fun findDecodeEngine(
        request: PlacementRequest,
        candidates: List<EngineCandidate>,
        source: EngineCandidate,
    ): EndpointId? =
        candidates.filter { it.role != EngineRole.PREFILL }.withFreeSlots()
            .cheapest { computeTransferCost(it, source, request) }.first?.id

    /** Returns the engines that are believed to have free slots, or all when none has: requests may wait there. */
    private fun List<EngineCandidate>.withFreeSlots() =
        filter { it.hasFreeSlots() }.ifEmpty { this }

    private fun EngineCandidate.hasFreeSlots() = requests < slots * MAX_SLOT_UTILIZATION

    /**
     * Returns an engine of the lowest cost up to a random difference, and its cost without it. A cost is an estimate
     * from reports that are up to seconds old.
     */
    private fun List<EngineCandidate>.cheapest(cost: (EngineCandidate) -> Double): Pair<EngineCandidate?, Double> =
        map { Triple(it, cost(it), random.nextDouble() * MAX_RANDOM_MILLISECONDS) }
            .minByOrNull { (_, estimated, difference) -> estimated + difference }
            ?.let { (engine, estimated, _) -> engine to estimated }
            ?: (null to Double.MAX_VALUE)

    private fun computePrefillSpeed(engine: EngineCandidate): Double = when (engine.role) {
        EngineRole.PREFILL, EngineRole.MIXED -> speeds.prefillTokensPerMillisecond
        EngineRole.DECODE -> speeds.prefillTokensPerMillisecond * speeds.decodeRoleSpeedFactor
    } / engine.slowdown

    private fun countUncachedTokens(engine: EngineCandidate, request: PlacementRequest) =
        request.promptTokens - engine.cachedTokens

    private fun estimateWaitMilliseconds(engine: EngineCandidate): Double =
        engine.queuedTokens / computePrefillSpeed(engine)

    /** Estimates the time until the prefill is complete, including the wait. */
    private fun estimatePrefillMilliseconds(engine: EngineCandidate, request: PlacementRequest): Double =
        (engine.queuedTokens + countUncachedTokens(engine, request)) / computePrefillSpeed(engine)

    /** Returns the time until the prefill is complete plus the weighted delay of others by recomputed shared tokens. */
    private fun computePrefillCost(
        engine: EngineCandidate,
        request: PlacementRequest,
        recomputationWeight: Double,
    ): Double {
        val recomputedTokens = maxOf(0, request.sharedTokens - engine.cachedTokens)
        return estimatePrefillMilliseconds(engine, request) +
            recomputationWeight * recomputedTokens / computePrefillSpeed(engine) +
            computeRankMilliseconds(engine, request)
    }

    private fun computeDirectCost(
        engine: EngineCandidate,
        request: PlacementRequest,
        from: DataCentreId,
        recomputationWeight: Double,
    ): Double {
        val distance = if (engine.dataCentre == from) 0.0 else CROSS_DATA_CENTRE_MILLISECONDS
        return computePrefillCost(engine, request, recomputationWeight) +
            computeSlotCost(engine) + distance
    }

    /** Returns the share of [engines] that have queued tokens. */
    private fun computeBusyShare(engines: List<EngineCandidate>): Double =
        if (engines.isEmpty()) 1.0 else engines.count { it.queuedTokens > 0 }.toDouble() / engines.size

    private fun estimateTransferMilliseconds(
        target: EngineCandidate,
        source: EngineCandidate,
        request: PlacementRequest,
    ): Double {
        val factor = if (target.dataCentre == source.dataCentre) 1.0 else CROSS_DATA_CENTRE_TRANSFER_FACTOR
        val transferredBytes = request.promptTokens * speeds.cacheBytesPerToken
        return TRANSFER_SETUP_MILLISECONDS + factor * transferredBytes / speeds.linkBytesPerMillisecond
    }

    private fun computeTransferCost(
        target: EngineCandidate,
        source: EngineCandidate,
        request: PlacementRequest,
    ): Double {
        val transferredBytes = request.promptTokens * speeds.cacheBytesPerToken
        return estimateTransferMilliseconds(target, source, request) +
            transferredBytes * MILLISECONDS_PER_TRANSFERRED_BYTE +
            computeSlotCost(target) + target.queuedTokens / computePrefillSpeed(target)
    }

    private fun computeSlotCost(engine: EngineCandidate): Double =
        engine.requests * FULL_ENGINE_MILLISECONDS / maxOf(1, engine.slots)

    /**
     * Returns a cost that ranks engines by a hash of the prefix and the engine. All instances thus choose the same
     * engine for a prefix that no engine has cached. It is small for a prefix that is soon prefilled again. Among the
     * engines that [PrefixEngines] selects chance decides instead, since the demand needs all of them.
     */
    private fun computeRankMilliseconds(engine: EngineCandidate, request: PlacementRequest): Double {
        if (request.rule == PlacementRule.SHARED_PREFIX) return random.nextDouble() * MAX_RANDOM_MILLISECONDS
        val rank = mixBits(request.sharedPrefixHash xor engine.id.value.hashCode().toLong()) ushr RANK_SHIFT
        val prefixMilliseconds = request.sharedTokens / speeds.prefillTokensPerMillisecond
        return rank * minOf(MAX_RANK_MILLISECONDS, prefixMilliseconds) / RANK_RANGE
    }

    private companion object {
        /** The slot utilization from which on an engine is skipped while others are below it. */
        const val MAX_SLOT_UTILIZATION = 0.9

        /** The weight of the delay that recomputing a shared prefix causes others, if all prefill engines are busy. */
        const val MAX_RECOMPUTATION_WEIGHT = 0.5

        /** The delay by the last free slot: each running request lengthens every step, and a full engine refuses. */
        const val FULL_ENGINE_MILLISECONDS = 32.0

        /** A few requests at an engine with few slots, and less than a transfer between data centres. */
        const val MAX_RANDOM_MILLISECONDS = 4.0

        /** What a prefill apart costs beyond its tokens: a call more, and the first step of another engine. */
        const val PREFILL_CALL_MILLISECONDS = 20.0

        /** The first decode step after the prefill, plus the time to reach the engine. */
        const val FIRST_STEP_MILLISECONDS = 10.0

        /** Breaks ties in favour of the local data centre, since traffic between data centres is paid for. */
        const val CROSS_DATA_CENTRE_MILLISECONDS = 4.0
        const val CROSS_DATA_CENTRE_TRANSFER_FACTOR = 2.0
        const val TRANSFER_SETUP_MILLISECONDS = 4.0

        /** Weighs the price of transferring one gigabyte like 10 ms of delay. */
        const val MILLISECONDS_PER_TRANSFERRED_BYTE = 1e-8

        /**
         * A prefill on a decode engine delays the output of prompts that other engines prefilled. One chunk of at most
         * this many tokens delays it only a little.
         */
        const val SMALL_PROMPT_TOKENS = 512

        /** The largest cost by rank, less than the prefill of a typical shared prefix. */
        const val MAX_RANK_MILLISECONDS = 20.0
        const val RANK_SHIFT = 48
        const val RANK_RANGE = 65_536.0
    }
}
