package org.nutmegspring.gateway.forwarding

import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.http.AnswerPart
import org.nutmegspring.gateway.peers.PromptReadReport
import org.nutmegspring.gateway.wire.DispatchStage
import org.nutmegspring.gateway.wire.PrefilledPrompt
import org.nutmegspring.gateway.wire.PromptFacts
import org.nutmegspring.gateway.wire.ServingDialect
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.placement.EnginePlacement
import org.nutmegspring.placement.EnginePlan
import org.nutmegspring.placement.EngineSpeeds
import org.nutmegspring.placement.PlacedWork
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration.Companion.milliseconds

/** Chooses engines by what is believed of them, has prompts read, and keeps the beliefs. */
class EngineChoice(
    private val endpoints: EndpointTable,
    private val sender: EndpointSender,
    private val dialect: ServingDialect,
    private val dataCentre: DataCentreId,
    private val clock: MonotonicClock,
) {
    private val promptsRead = ArrayDeque<PromptReadReport>()

    /** Returns the plan for [run], or null when no engine can take it. */
    fun choose(run: RequestRun): EnginePlan? {
        val now = clock.now()
        val prompt = run.admitted.facts.prompt
        val chain = prompt?.chain.orEmpty()
        val candidates = endpoints.usable(run.admitted.service, now, run.tried)
            .map { it.asEngine(chain, now) }
        return placement(run).plan(work(prompt), candidates, dataCentre)
    }

    /** Has the prompt read where [plan] says so. Returns null when that failed and another plan is needed. */
    suspend fun prepare(run: RequestRun, plan: EnginePlan): PreparedEngine? = when (plan) {
        is EnginePlan.Direct -> {
            endpoints.state(plan.reader.id)?.let { prepared(run, it, DispatchStage.Whole, plan) }
        }

        is EnginePlan.Handover -> {
            val reader = endpoints.state(plan.reader.id)
            val handle = reader?.let { prefill(run, it, plan) }
            val target = endpoints.state(plan.generator)
            if (reader == null || handle == null || target == null) {
                null
            } else {
                prepared(run, target, DispatchStage.Generate(reader.endpoint.address, handle.handle), plan)
            }
        }
    }

    /** Records that the request of [run] is sent to [prepared]. */
    fun sent(run: RequestRun, prepared: PreparedEngine): EngineTicket {
        prepared.engine.health.started(clock.now())
        run.admitted.facts.prompt?.let { read(prepared.engine, it) }
        return EngineTicket(clock, prepared.engine, prepared.expected, prepared.unreadTokens, run.admitted.urgency)
    }

    /** Records that [prepared] completed a request. */
    fun succeeded(prepared: PreparedEngine) = prepared.engine.health.succeeded()

    /** Records that [prepared] failed. */
    fun failed(prepared: PreparedEngine, failure: Failure, run: RequestRun) {
        if (failure.message.startsWith("another endpoint")) prepared.engine.isMisdirected = true
        if (failure.effect == Effect.UNKNOWN || failure.step == org.nutmegspring.failure.Step.CONNECT) {
            prepared.engine.health.failed(clock.now())
        }
        if (prepared.stage is DispatchStage.Generate) run.tried.remove(prepared.engine.endpoint.id)
    }

    /** Returns and forgets the prompts that engines were given to read since the last call. */
    fun takePromptsRead(): List<PromptReadReport> {
        val taken = promptsRead.toList()
        promptsRead.clear()
        return taken
    }

    private suspend fun prefill(run: RequestRun, reader: EndpointState, plan: EnginePlan.Handover): PrefilledPrompt? {
        val prompt = run.admitted.facts.prompt ?: return null
        val unread = unread(run, reader)
        reader.health.started(clock.now())
        read(reader, prompt)
        val ticket = EngineTicket(clock, reader, plan.expectedMilliseconds.milliseconds, unread, run.admitted.urgency)
        try {
            val timeout = minOf(run.timeLeft(), ticket.patience())
            val prefilled = within(timeout) { readPrefilled(run, reader) }
            if (prefilled == null) {
                reader.health.failed(clock.now())
                run.tried += reader.endpoint.id
                val failure = run.timedOut(reader.endpoint.address).copy(effect = Effect.NOT_RUN)
                run.failed(reader, failure)
            } else {
                ticket.firstOutput()
                run.trace.prefilledMilliseconds = run.elapsedMilliseconds()
                reader.health.succeeded()
            }
            return prefilled
        } finally {
            ticket.ended()
        }
    }

    private suspend fun readPrefilled(run: RequestRun, reader: EndpointState): PrefilledPrompt? {
        val dispatch = run.dispatch(reader, DispatchStage.Prefill, null)
        return when (val started = sender.send(run.exchange.call, dispatch, mayReuse = true)) {
            is AttemptStart.Failed -> null

            is AttemptStart.Answering -> try {
                if (started.head.isSuccess) readBody(started)?.let(dialect::readPrefilled) else null
            } finally {
                started.answer.close()
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

    private fun prepared(run: RequestRun, engine: EndpointState, stage: DispatchStage, plan: EnginePlan): PreparedEngine {
        val unread = if (stage is DispatchStage.Generate) 0 else unread(run, engine)
        return PreparedEngine(engine, stage, plan.expectedMilliseconds.milliseconds, unread)
    }

    private fun unread(run: RequestRun, engine: EndpointState): Long {
        val prompt = run.admitted.facts.prompt ?: return 0
        val held = engine.asEngine(prompt.chain, clock.now()).heldTokens
        return (prompt.promptTokens - held).coerceAtLeast(0).toLong()
    }

    private fun read(engine: EndpointState, prompt: PromptFacts) {
        engine.reads(prompt.chain)
        val shared = prompt.chain.dropLast(1)
        if (shared.isEmpty()) return
        if (promptsRead.size >= MAXIMUM_UNTOLD) promptsRead.removeFirst()
        promptsRead += PromptReadReport(engine.endpoint.id, shared.map { it.chainHash }, shared.map { it.tokens })
    }

    private fun work(prompt: PromptFacts?) = PlacedWork(
        promptTokens = prompt?.promptTokens ?: 0,
        sharedTokens = prompt?.sharedTokens ?: 0,
        chainKey = prompt?.chain?.dropLast(1)?.lastOrNull()?.chainHash ?: 0,
    )

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
