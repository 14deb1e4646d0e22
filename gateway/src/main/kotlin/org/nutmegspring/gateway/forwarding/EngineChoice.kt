package org.nutmegspring.gateway.forwarding

import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Step
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.peers.PrefillReport
import org.nutmegspring.gateway.wire.DispatchStage
import org.nutmegspring.gateway.wire.PrefilledPrompt
import org.nutmegspring.gateway.wire.PromptFacts
import org.nutmegspring.gateway.wire.ServingDialect
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.placement.EngineCandidate
import org.nutmegspring.placement.EnginePlacement
import org.nutmegspring.placement.EnginePlan
import org.nutmegspring.placement.EngineSpeeds
import org.nutmegspring.placement.PlacementRequest
import org.nutmegspring.placement.PlacementRule
import org.nutmegspring.placement.PrefixDemand
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** The result of preparing a request for dispatch. */
sealed interface Preparation {
    /** The request can be sent to [engine]. */
    class Ready(val engine: PreparedEngine) : Preparation

    /** A new plan is needed. */
    data object Replan : Preparation

    /** No engine can take the request, because of [reason]. */
    class Impossible(val reason: String) : Preparation
}

/**
 * Selects engines by their estimated load and prefix cache, requests prefills and updates the estimates.
 *
 * @param placementRule returns the rule by which the fleet places prompts with shared prefixes
 */
class EngineChoice(
    private val endpoints: EndpointTable,
    private val sender: EndpointSender,
    private val dialect: ServingDialect,
    private val retries: ServiceRetries,
    private val dataCentre: DataCentreId,
    private val clock: MonotonicClock,
    private val placementRule: () -> PlacementRule,
) {
    private val demandByService = HashMap<ServiceId, PrefixDemand>()
    private val pendingReports = ArrayDeque<PrefillReport>()

    /** Returns the plan for [run], which may wait for [maximumWait], or null when no engine can take it. */
    fun choose(run: RequestRun, maximumWait: Duration): EnginePlan? {
        val request = createPlacementRequest(run).copy(
            longestWaitMilliseconds = maximumWait.toDouble(DurationUnit.MILLISECONDS),
            prefixShare = findPrefixShare(run),
        )
        return createPlacement(run).plan(request, findCandidates(run), dataCentre)
    }

    /** Whether there is an engine to which [run] was not sent yet. */
    fun hasAlternative(run: RequestRun): Boolean =
        endpoints.findUsable(run.admitted.service, clock.now(), run.excluded).isNotEmpty()

    /** Returns how [run] ends if no engine can take it, for [reason]; [pause] is when no limit stands in the way. */
    fun createUnplacedEnd(run: RequestRun, reason: String, pause: Duration): RunEnd.NotRun =
        endpoints.createUnplacedEnd(run.admitted.service, clock.now(), reason, pause)

    /** Requests the prefill if [plan] is a handover, and returns where to send the request next. */
    suspend fun prepare(run: RequestRun, plan: EnginePlan): Preparation {
        run.pendingHandover?.let { return prepareDecode(run, it) }
        val prefillEngine = endpoints.findState(plan.prefillEngine.id) ?: return Preparation.Replan
        return when (plan) {
            is EnginePlan.Direct -> Preparation.Ready(prepareEngine(run, prefillEngine, DispatchStage.Whole, plan))
            is EnginePlan.Handover -> handOver(run, prefillEngine, plan)
        }
    }

    private suspend fun handOver(
        run: RequestRun,
        prefillEngine: EndpointState,
        plan: EnginePlan.Handover,
    ): Preparation {
        if (run.prefillAttempts > 0 && !retries.tryAcquire(run.admitted.service)) {
            return Preparation.Impossible("the budget for trying again is spent")
        }
        val prefilled = prefill(run, prefillEngine, plan)
        if (prefilled == null) {
            run.excluded += prefillEngine.endpoint.id
            return Preparation.Replan
        }
        return prepareDecode(run, PendingHandover(prefillEngine, prefilled.handle, plan))
    }

    /** Selects the decode engine for [handover]. */
    private suspend fun prepareDecode(run: RequestRun, handover: PendingHandover): Preparation {
        val decodeEngine =
            createPlacement(run).findDecodeEngine(
                createPlacementRequest(run),
                findCandidates(run),
                handover.plan.prefillEngine,
            )?.let(endpoints::findState)
        if (decodeEngine == null) {
            free(handover)
            return Preparation.Impossible("no engine generates")
        }
        // After two decode engines refuse a handle, it is no longer valid.
        run.pendingHandover = if (run.pendingHandover == null) handover else null
        val stage = DispatchStage.Generate(handover.prefillEngine.endpoint.address, handover.handle)
        return Preparation.Ready(prepareEngine(run, decodeEngine, stage, handover.plan))
    }

    private fun findCandidates(run: RequestRun): List<EngineCandidate> {
        val now = clock.now()
        val chain = run.admitted.facts.prompt?.chain.orEmpty()
        return endpoints.findUsable(run.admitted.service, now, run.excluded).map { it.toEngineCandidate(chain, now) }
    }

    /** Records that the request of [run] is sent to [prepared]. */
    fun recordDispatch(run: RequestRun, prepared: PreparedEngine): EngineAttempt {
        prepared.engine.health.recordStart(clock.now())
        run.admitted.facts.prompt?.let { recordPrefill(prepared.engine, it) }
        return EngineAttempt(clock, prepared.engine, prepared.expectedFirstOutput, prepared.uncachedTokens)
    }

    /** Records that [prepared] completed [run]. */
    fun recordSuccess(run: RequestRun, prepared: PreparedEngine) {
        run.pendingHandover = null
        prepared.engine.recordSuccess()
    }

    /** Frees the prefilled prompt of [run] that no decode engine fetched. */
    suspend fun release(run: RequestRun) {
        val handover = run.pendingHandover ?: return
        run.pendingHandover = null
        free(handover)
    }

    /** Frees the prompt of [handover], unless its engine may get no requests; then the engine frees it in time. */
    private suspend fun free(handover: PendingHandover) {
        val engine = handover.prefillEngine
        if (endpoints.permitsCalls(engine.endpoint)) sender.free(engine, handover.handle)
    }

    /** Records that [prepared] failed, [refusal] when it stated that it did not run the request. */
    fun recordFailure(run: RequestRun, prepared: PreparedEngine, failure: Failure, refusal: EndpointRefusal?) {
        val engine = prepared.engine
        when (refusal) {
            EndpointRefusal.OTHER_ENDPOINT -> engine.isMisdirected = true
            EndpointRefusal.BUSY -> engine.recordRefusal(clock.now())
            EndpointRefusal.LIMITED -> Unit
            null -> run.pendingHandover = null
        }
        if (failure.effect == Effect.UNKNOWN || failure.step == Step.CONNECT) engine.recordUnanswered(clock.now())
        if (prepared.stage is DispatchStage.Generate && run.pendingHandover == null) {
            run.excluded.remove(engine.endpoint.id)
        }
    }

    /** Returns the [count] newest reports of prompts sent to engines since the last call. */
    fun drainPrefillReports(count: Int): List<PrefillReport> {
        val taken = pendingReports.takeLast(count)
        pendingReports.clear()
        return taken
    }

    private suspend fun prefill(
        run: RequestRun,
        prefillEngine: EndpointState,
        plan: EnginePlan.Handover,
    ): PrefilledPrompt? {
        val prompt = run.admitted.facts.prompt ?: return null
        val uncachedTokens = countUncachedTokens(run, prefillEngine)
        run.prefillAttempts++
        prefillEngine.health.recordStart(clock.now())
        recordPrefill(prefillEngine, prompt)
        val attempt =
            EngineAttempt(clock, prefillEngine, plan.expectedFirstOutputMilliseconds.milliseconds, uncachedTokens)
        try {
            val prefilled = attempt.awaitWhileResponsive(run::timeLeft) { readPrefilled(run, prefillEngine, attempt) }
            if (prefilled != null) {
                prefillEngine.recordSuccess()
                run.trace.prefilledMilliseconds = run.elapsedMilliseconds()
            } else if (!attempt.hasAnswered) {
                prefillEngine.recordUnanswered(clock.now())
                run.recordFailure(
                    prefillEngine,
                    run.timeoutFailure(prefillEngine.endpoint.address).copy(effect = Effect.NOT_RUN),
                )
            }
            return prefilled
        } finally {
            attempt.recordEnd()
        }
    }

    private suspend fun readPrefilled(
        run: RequestRun,
        prefillEngine: EndpointState,
        attempt: EngineAttempt,
    ): PrefilledPrompt? {
        val dispatch = run.createDispatch(prefillEngine, DispatchStage.Prefill, null)
        return when (val started = sender.send(run.exchange.call, dispatch, canReuse = true)) {
            is AttemptStart.Failed -> {
                if (started.refusal != null) {
                    attempt.recordRefusal()
                    if (started.refusal != EndpointRefusal.LIMITED) prefillEngine.recordRefusal(clock.now())
                }
                run.recordFailure(prefillEngine, started.failure.copy(effect = Effect.NOT_RUN))
                null
            }

            is AttemptStart.Answering -> {
                try {
                    val body = started.takeIf { it.head.isSuccess }
                        ?.answer?.readBody(prefillEngine.endpoint.address)?.getOrNull()
                    val handle = body?.let(dialect::readPrefilled)
                    attempt.recordFirstOutput()
                    handle
                } finally {
                    started.answer.close()
                }
            }
        }
    }

    private fun prepareEngine(
        run: RequestRun,
        engine: EndpointState,
        stage: DispatchStage,
        plan: EnginePlan,
    ): PreparedEngine {
        val uncachedTokens = if (stage is DispatchStage.Generate) 0 else countUncachedTokens(run, engine)
        return PreparedEngine(engine, stage, plan.expectedFirstOutputMilliseconds.milliseconds, uncachedTokens)
    }

    private fun countUncachedTokens(run: RequestRun, engine: EndpointState): Long {
        val prompt = run.admitted.facts.prompt ?: return 0
        val cachedTokens = engine.toEngineCandidate(prompt.chain, clock.now()).cachedTokens
        return (prompt.promptTokens - cachedTokens).coerceAtLeast(0).toLong()
    }

    /** Records the prefill, and reports it to the other instances unless the shared part was cached before. */
    private fun recordPrefill(engine: EndpointState, prompt: PromptFacts) {
        val shared = prompt.chain.dropLast(1)
        val isCached = engine.toEngineCandidate(shared, clock.now()).cachedTokens >= prompt.sharedTokens
        engine.recordPrefill(prompt.chain)
        if (isCached) return
        if (pendingReports.size >= MAXIMUM_PENDING_REPORTS) pendingReports.removeFirst()
        pendingReports += PrefillReport(engine.endpoint.id, shared.map { it.chainHash }, shared.map { it.tokens })
    }

    private fun createPlacementRequest(run: RequestRun): PlacementRequest {
        val prompt = run.admitted.facts.prompt
        return PlacementRequest(
            promptTokens = prompt?.promptTokens ?: 0,
            sharedTokens = prompt?.sharedTokens ?: 0,
            sharedPrefixHash = prompt?.chain?.dropLast(1)?.lastOrNull()?.chainHash ?: 0,
        )
    }

    /**
     * Returns the share of the shared prefix of [run] in the demand, or null if the rule in force does not use it. The
     * demand is counted under either rule, since instances may join at any time; retries are no further demand.
     */
    private fun findPrefixShare(run: RequestRun): Double? {
        val prompt = run.admitted.facts.prompt ?: return null
        val prefix = prompt.chain.dropLast(1).lastOrNull()?.chainHash
        val demand = demandByService.getOrPut(run.admitted.service, ::PrefixDemand)
        if (run.trace.plan == null) demand.record(prefix, prompt.promptTokens - prompt.sharedTokens, clock.now())
        return when (placementRule()) {
            PlacementRule.EARLIEST -> null
            PlacementRule.SHARED_PREFIX -> prefix?.let(demand::findShare)
        }
    }

    private fun createPlacement(run: RequestRun): EnginePlacement {
        val capabilities =
            run.admitted.configuration.services[run.admitted.service]?.engines ?: return EnginePlacement()
        val speeds = EngineSpeeds(
            cacheBytesPerToken = capabilities.cacheBytesPerToken,
            linkBytesPerMillisecond = capabilities.linkMegabitsPerSecond * BYTES_PER_MILLISECOND_IN_MEGABIT,
        )
        return EnginePlacement(speeds)
    }

    private companion object {
        /** Maximum number of prompts in one report; the oldest are dropped because they matter less. */
        const val MAXIMUM_PENDING_REPORTS = 100
        const val BYTES_PER_MILLISECOND_IN_MEGABIT = 125.0
    }
}
