package org.nutmegspring.gateway.forwarding

import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Step
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.http.AnswerPart
import org.nutmegspring.gateway.peers.PrefillReport
import org.nutmegspring.gateway.wire.DispatchStage
import org.nutmegspring.gateway.wire.PrefilledPrompt
import org.nutmegspring.gateway.wire.PromptFacts
import org.nutmegspring.gateway.wire.ServingDialect
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.placement.EngineCandidate
import org.nutmegspring.placement.EnginePlacement
import org.nutmegspring.placement.EnginePlan
import org.nutmegspring.placement.EngineSpeeds
import org.nutmegspring.placement.PlacementRequest
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Where a request is sent after its prompt was prepared. */
sealed interface Preparation {
    /** To [engine]. */
    class Ready(val engine: PreparedEngine) : Preparation

    /** Another plan is needed. */
    data object Again : Preparation

    /** Nowhere, because of [reason]. */
    class Impossible(val reason: String) : Preparation
}

/** Chooses engines by what is believed of them, has prompts read, and keeps the beliefs. */
class EngineChoice(
    private val endpoints: EndpointTable,
    private val sender: EndpointSender,
    private val dialect: ServingDialect,
    private val retries: ServiceRetries,
    private val dataCentre: DataCentreId,
    private val clock: MonotonicClock,
) {
    private val promptsRead = ArrayDeque<PrefillReport>()

    /** Returns the plan for [run], which may wait for [longestWait], or null when no engine can take it. */
    fun choose(run: RequestRun, longestWait: Duration): EnginePlan? {
        val work = work(run).copy(longestWaitMilliseconds = longestWait.toDouble(DurationUnit.MILLISECONDS))
        return placement(run).plan(work, candidates(run), dataCentre)
    }

    /** Has the prompt read where [plan] says so, and returns where the request is sent next. */
    suspend fun prepare(run: RequestRun, plan: EnginePlan): Preparation {
        run.unfetched?.let { return generate(run, it) }
        val reader = endpoints.state(plan.prefillEngine.id) ?: return Preparation.Again
        return when (plan) {
            is EnginePlan.Direct -> Preparation.Ready(prepared(run, reader, DispatchStage.Whole, plan))
            is EnginePlan.Handover -> handOver(run, reader, plan)
        }
    }

    private suspend fun handOver(run: RequestRun, reader: EndpointState, plan: EnginePlan.Handover): Preparation {
        if (run.prefillCalls > 0 && !retries.take(run.admitted.service)) {
            return Preparation.Impossible("the budget for trying again is spent")
        }
        val read = prefill(run, reader, plan)
        if (read == null) {
            run.tried += reader.endpoint.id
            return Preparation.Again
        }
        return generate(run, ReadPrompt(reader, read.handle, plan))
    }

    /** Chooses the engine that goes on from [read]. */
    private suspend fun generate(run: RequestRun, read: ReadPrompt): Preparation {
        val generator =
            placement(run).findDecodeEngine(work(run), candidates(run), read.plan.prefillEngine)?.let(endpoints::state)
        if (generator == null) {
            sender.free(read.reader, read.handle)
            return Preparation.Impossible("no engine generates")
        }
        // A handle that two engines refuse is gone.
        run.unfetched = if (run.unfetched == null) read else null
        val stage = DispatchStage.Generate(read.reader.endpoint.address, read.handle)
        return Preparation.Ready(prepared(run, generator, stage, read.plan))
    }

    private fun candidates(run: RequestRun): List<EngineCandidate> {
        val now = clock.now()
        val chain = run.admitted.facts.prompt?.chain.orEmpty()
        return endpoints.usable(run.admitted.service, now, run.tried).map { it.asEngine(chain, now) }
    }

    /** Records that the request of [run] is sent to [prepared]. */
    fun sent(run: RequestRun, prepared: PreparedEngine): EngineTicket {
        prepared.engine.health.recordStart(clock.now())
        run.admitted.facts.prompt?.let { read(prepared.engine, it) }
        return EngineTicket(clock, prepared.engine, prepared.expected, prepared.unreadTokens)
    }

    /** Records that [prepared] completed [run]. */
    fun succeeded(run: RequestRun, prepared: PreparedEngine) {
        run.unfetched = null
        prepared.engine.recordSuccess()
    }

    /** Frees what an engine read for [run] and no other fetched. */
    suspend fun release(run: RequestRun) {
        val read = run.unfetched ?: return
        run.unfetched = null
        sender.free(read.reader, read.handle)
    }

    /** Records that [prepared] failed, [refusal] when it stated that it did not run the request. */
    fun failed(run: RequestRun, prepared: PreparedEngine, failure: Failure, refusal: EndpointRefusal?) {
        val engine = prepared.engine
        when (refusal) {
            EndpointRefusal.OTHER_ENDPOINT -> engine.isMisdirected = true
            EndpointRefusal.BUSY -> engine.recordRefusal(clock.now())
            null -> run.unfetched = null
        }
        if (failure.effect == Effect.UNKNOWN || failure.step == Step.CONNECT) engine.recordUnanswered(clock.now())
        if (prepared.stage is DispatchStage.Generate && run.unfetched == null) run.tried.remove(engine.endpoint.id)
    }

    /** Returns and forgets the prompts that engines were given to read since the last call. */
    fun takePromptsRead(): List<PrefillReport> {
        val taken = promptsRead.toList()
        promptsRead.clear()
        return taken
    }

    private suspend fun prefill(run: RequestRun, reader: EndpointState, plan: EnginePlan.Handover): PrefilledPrompt? {
        val prompt = run.admitted.facts.prompt ?: return null
        val unread = unread(run, reader)
        run.prefillCalls++
        reader.health.recordStart(clock.now())
        read(reader, prompt)
        val ticket = EngineTicket(clock, reader, plan.expectedFirstOutputMilliseconds.milliseconds, unread)
        try {
            val prefilled = ticket.whileAlive(run::timeLeft) { readPrefilled(run, reader, ticket) }
            if (prefilled != null) {
                reader.recordSuccess()
                run.trace.prefilledMilliseconds = run.elapsedMilliseconds()
            } else if (!ticket.hasAnswered) {
                reader.recordUnanswered(clock.now())
                run.failed(reader, run.timedOut(reader.endpoint.address).copy(effect = Effect.NOT_RUN))
            }
            return prefilled
        } finally {
            ticket.ended()
        }
    }

    private suspend fun readPrefilled(
        run: RequestRun,
        reader: EndpointState,
        ticket: EngineTicket,
    ): PrefilledPrompt? {
        val dispatch = run.dispatch(reader, DispatchStage.Prefill, null)
        return when (val started = sender.send(run.exchange.call, dispatch, mayReuse = true)) {
            is AttemptStart.Failed -> {
                if (started.refusal != null) {
                    ticket.refused()
                    reader.recordRefusal(clock.now())
                }
                run.failed(reader, started.failure.copy(effect = Effect.NOT_RUN))
                null
            }

            is AttemptStart.Answering -> {
                try {
                    val handle = if (started.head.isSuccess) readBody(started)?.let(dialect::readPrefilled) else null
                    ticket.firstOutput()
                    handle
                } finally {
                    started.answer.close()
                }
            }
        }
    }

    private suspend fun readBody(started: AttemptStart.Answering): ByteArray? {
        val body = BodyCollector()
        while (true) {
            when (val part = started.answer.next()) {
                is AnswerPart.Body -> body.add(part.bytes)
                is AnswerPart.End -> return body.whole()
                is AnswerPart.Broken, is AnswerPart.Head -> return null
            }
        }
    }

    private fun prepared(
        run: RequestRun,
        engine: EndpointState,
        stage: DispatchStage,
        plan: EnginePlan,
    ): PreparedEngine {
        val unread = if (stage is DispatchStage.Generate) 0 else unread(run, engine)
        return PreparedEngine(engine, stage, plan.expectedFirstOutputMilliseconds.milliseconds, unread)
    }

    private fun unread(run: RequestRun, engine: EndpointState): Long {
        val prompt = run.admitted.facts.prompt ?: return 0
        val held = engine.asEngine(prompt.chain, clock.now()).cachedTokens
        return (prompt.promptTokens - held).coerceAtLeast(0).toLong()
    }

    private fun read(engine: EndpointState, prompt: PromptFacts) {
        engine.recordPrefill(prompt.chain)
        val shared = prompt.chain.dropLast(1)
        if (shared.isEmpty()) return
        if (promptsRead.size >= MAXIMUM_UNTOLD) promptsRead.removeFirst()
        promptsRead += PrefillReport(engine.endpoint.id, shared.map { it.chainHash }, shared.map { it.tokens })
    }

    private fun work(run: RequestRun): PlacementRequest {
        val prompt = run.admitted.facts.prompt
        return PlacementRequest(
            promptTokens = prompt?.promptTokens ?: 0,
            sharedTokens = prompt?.sharedTokens ?: 0,
            sharedPrefixHash = prompt?.chain?.dropLast(1)?.lastOrNull()?.chainHash ?: 0,
        )
    }

    private fun placement(run: RequestRun): EnginePlacement {
        val abilities = run.admitted.configuration.services[run.admitted.service]?.engines ?: return EnginePlacement()
        val speeds = EngineSpeeds(
            cacheBytesPerToken = abilities.cacheBytesPerToken,
            linkBytesPerMillisecond = abilities.linkMegabitsPerSecond * BYTES_PER_MILLISECOND_IN_MEGABIT,
        )
        return EnginePlacement(speeds)
    }

    private companion object {
        /** Prompts told in one report; older ones matter less. */
        const val MAXIMUM_UNTOLD = 100
        const val BYTES_PER_MILLISECOND_IN_MEGABIT = 125.0
    }
}
