package org.nutmegspring.gateway.forwarding

import org.nutmegspring.admission.QueueWaitDecision
import org.nutmegspring.admission.QueueWaitLimit
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.gateway.configuration.isRepeatable
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.http.AnswerPart
import org.nutmegspring.gateway.http.withoutHopByHopHeaders
import org.nutmegspring.placement.EnginePlan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends requests to engines and passes their events on as they arrive.
 *
 * A run that breaks off is continued at another engine after the last event that was passed on, where the route allows
 * it. Only whole events are passed on, so that the continuation joins without a gap or a repeat.
 */
class StreamForwarder(
    private val choice: EngineChoice,
    private val sender: EndpointSender,
    private val retries: ServiceRetries,
    private val usage: UsageCounter,
    private val limit: QueueWaitLimit,
) {
    /** The answer to one caller, over all attempts. */
    private class Progress(var lastEvent: String?) {
        var isStarted = false
        var hasOutput = false
        var isCounted = false

        /** Whether another engine can go on: nothing was passed on, or it is known after which event. */
        val canContinue: Boolean get() = !isStarted || lastEvent != null
    }

    /** Serves [run]. */
    suspend fun serve(run: RequestRun): RunEnd {
        val progress = Progress(run.admitted.facts.lastEvent)
        var last: RunEnd = RunEnd.NotRun("no engine can take the request", RETRY_PAUSE)
        while (true) {
            when (val next = nextAttempt(run, progress, last)) {
                is Next.Ended -> {
                    choice.release(run)
                    return next.end
                }

                is Next.Again -> {
                    last = next.end
                }
            }
        }
    }

    /** What follows one attempt. */
    private sealed interface Next {
        class Ended(val end: RunEnd) : Next

        /** Another attempt follows; without one the request would end with [end]. */
        class Again(val end: RunEnd) : Next
    }

    private suspend fun nextAttempt(run: RequestRun, progress: Progress, last: RunEnd): Next {
        val plan = choice.choose(run, limit.computeMaximumWait(shortestObjective(run))) ?: return Next.Ended(last)
        if (run.trace.plan == null) run.trace.plan = plan
        val refusal = refusal(run, progress, plan)
        val isFurther = run.trace.endpoints.isNotEmpty()
        return when {
            refusal != null -> {
                Next.Ended(if (run.mayHaveRun) last else refusal)
            }

            isFurther && !retries.take(run.admitted.service) -> {
                Next.Ended(last)
            }

            else -> {
                when (val preparation = choice.prepare(run, plan)) {
                    is Preparation.Ready -> attemptAt(run, progress, preparation.engine)
                    Preparation.Again -> Next.Again(last)
                    is Preparation.Impossible -> Next.Ended(impossible(run, preparation.reason, last))
                }
            }
        }
    }

    /** Returns the refusal of a request whose first output would be late, or null. */
    private fun refusal(run: RequestRun, progress: Progress, plan: EnginePlan): RunEnd? {
        if (progress.hasOutput) return null
        val verdict = limit.decide(
            queueWait = plan.waitMilliseconds.milliseconds,
            expectedFirstOutput = plan.expectedFirstOutputMilliseconds.milliseconds,
            shortestObjective = shortestObjective(run),
            callerTimeout = run.firstOutputTimeLeft(),
        )
        return when (verdict) {
            QueueWaitDecision.Send -> null
            is QueueWaitDecision.Refuse -> RunEnd.NotRun("the first output would be late", verdict.retryAfter)
        }
    }

    private fun shortestObjective(run: RequestRun): Duration =
        run.admitted.configuration.shortestStreamObjective(run.admitted.service)

    private fun impossible(run: RequestRun, reason: String, last: RunEnd): RunEnd =
        if (run.mayHaveRun) last else RunEnd.NotRun(reason, RETRY_PAUSE)

    private suspend fun attemptAt(run: RequestRun, progress: Progress, prepared: PreparedEngine): Next {
        run.trace.endpoints += prepared.engine.endpoint.id
        run.tried += prepared.engine.endpoint.id
        return when (val end = attempt(run, prepared, progress)) {
            is AttemptEnd.Delivered -> {
                Next.Ended(RunEnd.Delivered(end.status))
            }

            is AttemptEnd.Failed -> {
                run.failed(prepared.engine, end.failure)
                val runEnd = endOf(run, progress, end.failure)
                val mayGoOn = run.mayTryAgain(end.failure.effect) && progress.canContinue
                if (mayGoOn) Next.Again(runEnd) else Next.Ended(runEnd)
            }
        }
    }

    private sealed interface AttemptEnd {
        class Delivered(val status: Int) : AttemptEnd

        class Failed(val failure: Failure) : AttemptEnd
    }

    private suspend fun attempt(run: RequestRun, prepared: PreparedEngine, progress: Progress): AttemptEnd {
        val engine = prepared.engine
        val ticket = choice.sent(run, prepared)
        var answering: AttemptStart.Answering? = null
        try {
            val started = within(run.timeLeft()) {
                val dispatch = run.dispatch(engine, prepared.stage, progress.lastEvent)
                sender.send(run.exchange.call, dispatch, mayReuse = true).also {
                    if (it is AttemptStart.Answering) answering = it
                }
            }
            return when (started) {
                null -> failed(run, prepared, run.timedOut(engine.endpoint.address))
                is AttemptStart.Failed -> failed(run, prepared, started.failure, started.refusal)
                is AttemptStart.Answering -> pump(run, prepared, progress, started, ticket)
            }
        } finally {
            ticket.ended()
            answering?.answer?.close()
        }
    }

    private suspend fun pump(
        run: RequestRun,
        prepared: PreparedEngine,
        progress: Progress,
        started: AttemptStart.Answering,
        ticket: EngineTicket,
    ): AttemptEnd {
        if (!started.head.isSuccess || !started.head.facts.isSigned) return refused(run, prepared, progress, started)
        val events = EventSplitter()
        while (true) {
            val part = next(run, ticket, started)
            if (part is AnswerPart.Body) {
                events.add(part.bytes).forEach { pass(run, progress, started.head, it, ticket) }
            } else {
                return ended(run, prepared, progress, started.head, events, part)
            }
        }
    }

    /** Ends an attempt with its last [part], null when the engine fell silent. */
    private fun ended(
        run: RequestRun,
        prepared: PreparedEngine,
        progress: Progress,
        head: AnswerHead,
        events: EventSplitter,
        part: AnswerPart?,
    ): AttemptEnd = when (part) {
        is AnswerPart.End -> {
            if (events.hasPartialEvent) passRest(run, progress, head, events.rest())
            if (!progress.isStarted) start(run, progress, head)
            run.exchange.finish()
            choice.succeeded(run, prepared)
            AttemptEnd.Delivered(head.status)
        }

        is AnswerPart.Broken -> {
            failed(run, prepared, broken(prepared, part.reason))
        }

        null -> {
            failed(run, prepared, run.timedOut(prepared.engine.endpoint.address))
        }

        is AnswerPart.Head, is AnswerPart.Body -> {
            failed(run, prepared, broken(prepared, "a second head in one answer"))
        }
    }

    private fun pass(
        run: RequestRun,
        progress: Progress,
        head: AnswerHead,
        event: StreamEvent,
        ticket: EngineTicket,
    ) {
        if (!progress.isStarted) start(run, progress, head)
        if (!progress.hasOutput) {
            progress.hasOutput = true
            run.trace.firstOutputMilliseconds = run.elapsedMilliseconds()
        }
        ticket.firstOutput()
        if (!progress.isCounted) {
            progress.isCounted = true
            usage.began(run.admitted, System.currentTimeMillis())
        }
        if (event.id != null) progress.lastEvent = event.id
        run.exchange.send(event.bytes)
    }

    private fun passRest(run: RequestRun, progress: Progress, head: AnswerHead, rest: ByteArray) {
        if (!progress.isStarted) start(run, progress, head)
        run.exchange.send(rest)
    }

    private fun start(run: RequestRun, progress: Progress, head: AnswerHead) {
        progress.isStarted = true
        run.exchange.start(head.status, head.headers.withoutHopByHopHeaders())
    }

    /** Delivers an answer that is not a stream: a failure that the engine made itself. */
    private suspend fun refused(
        run: RequestRun,
        prepared: PreparedEngine,
        progress: Progress,
        started: AttemptStart.Answering,
    ): AttemptEnd {
        val body = BodyCollector()
        while (true) {
            when (val part = within(run.timeLeft()) { started.answer.next() }) {
                is AnswerPart.Body -> body.add(part.bytes)

                is AnswerPart.End -> break

                else -> return failed(
                    run,
                    prepared,
                    broken(prepared, "an answer of status ${started.head.status} broke off"),
                )
            }
        }
        if (progress.isStarted || started.head.isPromise || started.head.isSuccess) {
            return failed(run, prepared, broken(prepared, "answered ${started.head.status} without proof"))
        }
        run.exchange.respond(started.head.status, started.head.headers.withoutHopByHopHeaders(), body.whole())
        return AttemptEnd.Delivered(started.head.status)
    }

    /** Waits for the next part; before the first output only while the engine shows that it lives. */
    private suspend fun next(run: RequestRun, ticket: EngineTicket, started: AttemptStart.Answering): AnswerPart? {
        val canMove =
            run.admitted.route.kind.isRepeatable && run.trace.endpoints.size < run.admitted.route.maximumAttempts
        return if (canMove && !ticket.hasOutput) {
            ticket.whileAlive(run::timeLeft) { started.answer.next() }
        } else {
            within(run.timeLeft()) { started.answer.next() }
        }
    }

    private fun failed(
        run: RequestRun,
        prepared: PreparedEngine,
        failure: Failure,
        refusal: EndpointRefusal? = null,
    ): AttemptEnd {
        choice.failed(run, prepared, failure, refusal)
        return AttemptEnd.Failed(failure)
    }

    private fun broken(prepared: PreparedEngine, reason: String) =
        Failure(Step.READ_ANSWER, Peer(prepared.engine.endpoint.address), Effect.UNKNOWN, reason)

    private fun endOf(run: RequestRun, progress: Progress, failure: Failure): RunEnd = when {
        progress.isStarted -> RunEnd.BrokenOff(failure.message)
        run.mayHaveRun -> RunEnd.Failed(failure.message, isTimeout = run.timeLeft() == Duration.ZERO)
        else -> RunEnd.NotRun(failure.message, RETRY_PAUSE)
    }

    private companion object {
        /** An engine that is full has room again after about one request. */
        val RETRY_PAUSE = 150.milliseconds
    }
}
