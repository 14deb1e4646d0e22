package org.nutmegspring.gateway.forwarding

import org.nutmegspring.admission.QueueWaitDecision
import org.nutmegspring.admission.QueueWaitLimit
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.gateway.configuration.isRepeatable
import org.nutmegspring.gateway.endpoints.EndpointErrors
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.http.AnswerPart
import org.nutmegspring.gateway.http.withoutHopByHopHeaders
import org.nutmegspring.gateway.observe.BodyFraming
import org.nutmegspring.gateway.observe.Interruption
import org.nutmegspring.placement.EnginePlan
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends requests to engines and forwards their events as they arrive.
 *
 * An interrupted stream is resumed at another engine after the last forwarded event, where the route allows
 * it. Only whole events are forwarded, so that the resumed stream has no gaps or duplicates.
 */
class StreamForwarder(
    private val choice: EngineChoice,
    private val sender: EndpointSender,
    private val retries: ServiceRetries,
    private val usage: UsageCounter,
    private val limit: QueueWaitLimit,
    private val crashGuard: CrashGuard,
    private val errors: EndpointErrors,
    private val demand: DemandCounter,
) {
    /** Serves [run]. */
    suspend fun serve(run: RequestRun): RunEnd {
        val progress = StreamProgress(run.admitted.facts.lastEvent)
        var last: RunEnd = choice.createUnplacedEnd(run, "no engine can take the request", RETRY_PAUSE)
        while (true) {
            when (val next = nextAttempt(run, progress, last)) {
                is Next.Ended -> {
                    choice.release(run)
                    return next.end
                }

                is Next.Retry -> {
                    last = next.end
                }
            }
        }
    }

    /** What to do after an attempt. */
    private sealed interface Next {
        class Ended(val end: RunEnd) : Next

        /** Attempt again; if no attempt is possible, the request ends with [end]. */
        class Retry(val end: RunEnd) : Next
    }

    private suspend fun nextAttempt(run: RequestRun, progress: StreamProgress, last: RunEnd): Next {
        findQuarantineEnd(run, last)?.let { return Next.Ended(it) }
        val plan = choice.choose(run, limit.computeMaximumWait(shortestObjective(run)))
        val refusal = plan?.let { refusal(run, progress, it) }
        recordFirstPlan(run, plan, isRefused = plan == null || refusal != null)
        if (plan == null) return Next.Ended(last)
        val isFurther = run.trace.endpoints.isNotEmpty()
        return when {
            refusal != null -> {
                Next.Ended(if (run.mayHaveRun) last else refusal)
            }

            isFurther && !retries.tryAcquire(run.admitted.service) -> {
                Next.Ended(last)
            }

            else -> {
                when (val preparation = choice.prepare(run, plan)) {
                    is Preparation.Ready -> {
                        val end = findQuarantineEnd(run, last)
                        if (end == null) attemptAt(run, progress, preparation.engine) else Next.Ended(end)
                    }

                    Preparation.Replan -> {
                        Next.Retry(last)
                    }

                    is Preparation.Impossible -> {
                        Next.Ended(createImpossibleEnd(run, preparation.reason, last))
                    }
                }
            }
        }
    }

    /** Records what the first plan asks of engines; later ones for the same request are no further demand. */
    private fun recordFirstPlan(run: RequestRun, plan: EnginePlan?, isRefused: Boolean) {
        if (run.trace.plan != null) return
        demand.record(run.admitted, plan, isRefused)
        run.trace.plan = plan
    }

    /** Returns how [run] ends if a part of its prompt is quarantined, or null. */
    private fun findQuarantineEnd(run: RequestRun, last: RunEnd): RunEnd? {
        val part = crashGuard.refuse(run.sharedParts) ?: return null
        if (run.mayHaveRun) return last
        return RunEnd.NotRun("engines crash under the prompt part $part", QUARANTINE_RETRY_AFTER)
    }

    /** Returns a refusal if the first output is expected too late, or null. */
    private fun refusal(run: RequestRun, progress: StreamProgress, plan: EnginePlan): RunEnd? {
        if (progress.hasOutput) return null
        val decision = limit.decide(
            queueWait = plan.waitMilliseconds.milliseconds,
            expectedFirstOutput = plan.expectedFirstOutputMilliseconds.milliseconds,
            shortestObjective = shortestObjective(run),
            callerTimeout = run.firstOutputTimeLeft(),
        )
        return when (decision) {
            QueueWaitDecision.Send -> null
            is QueueWaitDecision.Refuse -> RunEnd.NotRun("the first output would be late", decision.retryAfter)
        }
    }

    private fun shortestObjective(run: RequestRun): Duration =
        run.admitted.configuration.shortestStreamObjective(run.admitted.service)

    private fun createImpossibleEnd(run: RequestRun, reason: String, last: RunEnd): RunEnd =
        if (run.mayHaveRun) last else choice.createUnplacedEnd(run, reason, RETRY_PAUSE)

    private suspend fun attemptAt(run: RequestRun, progress: StreamProgress, prepared: PreparedEngine): Next {
        run.trace.endpoints += prepared.engine.endpoint.id
        run.excluded += prepared.engine.endpoint.id
        return when (val end = attempt(run, prepared, progress)) {
            is AttemptEnd.Delivered -> {
                Next.Ended(RunEnd.Delivered(end.status))
            }

            is AttemptEnd.Failed -> {
                val interruption = findInterruption(run, prepared, end)
                run.recordFailure(prepared.engine, end.failure, interruption)
                val runEnd = createRunEnd(run, progress, end.failure)
                val canRetry = run.canRetry(end.failure.effect) && progress.canContinue &&
                    (interruption == null || crashGuard.awaitRetry(run.sharedParts, interruption, run::timeLeft))
                if (canRetry) Next.Retry(runEnd) else Next.Ended(runEnd)
            }
        }
    }

    /** Returns how the engine cut off its answer, or null if the attempt failed in another way. */
    private suspend fun findInterruption(
        run: RequestRun,
        prepared: PreparedEngine,
        end: AttemptEnd.Failed,
    ): Interruption? {
        if (!end.isDisconnect) return null
        return crashGuard.recordDisconnect(run.sharedParts, prepared.engine.endpoint, end.events)
    }

    private sealed interface AttemptEnd {
        class Delivered(val status: Int) : AttemptEnd

        /** [isDisconnect] if the engine closed the connection, after [events] whole events of this attempt. */
        class Failed(val failure: Failure, val isDisconnect: Boolean, val events: Int) : AttemptEnd
    }

    private suspend fun attempt(run: RequestRun, prepared: PreparedEngine, progress: StreamProgress): AttemptEnd {
        val engine = prepared.engine
        val attempt = choice.recordDispatch(run, prepared)
        var answering: AttemptStart.Answering? = null
        try {
            val started = awaitWithin(run.timeLeft()) {
                val dispatch = run.createDispatch(engine, prepared.stage, progress.lastEvent)
                sender.send(run.exchange.call, dispatch, canReuse = true).also {
                    if (it is AttemptStart.Answering) answering = it
                }
            }
            return when (started) {
                null -> recordFailure(run, prepared, run.timeoutFailure(engine.endpoint.address))
                is AttemptStart.Failed -> recordFailure(run, prepared, started)
                is AttemptStart.Answering -> forwardEvents(run, prepared, progress, started, attempt)
            }
        } finally {
            attempt.recordEnd()
            answering?.answer?.close()
        }
    }

    private suspend fun forwardEvents(
        run: RequestRun,
        prepared: PreparedEngine,
        progress: StreamProgress,
        started: AttemptStart.Answering,
        attempt: EngineAttempt,
    ): AttemptEnd {
        run.trace.framing = started.head.framing
        if (!started.head.isSuccess || !started.head.facts.isSigned) return sendError(run, prepared, progress, started)
        val events = EventSplitter()
        if (!progress.beginAttempt(started.head)) {
            return recordFailure(run, prepared, brokenAnswer(prepared, "an answer of another type within a stream"))
        }
        while (true) {
            val part = awaitNextPart(run, attempt, started)
            if (part !is AnswerPart.Body) return finishAttempt(run, prepared, progress, started.head, events, part)
            val problem = forwardPart(run, progress, started.head, part.bytes, events, attempt)
                ?: "no memory for a partial event".takeIf { !started.answer.tryHold(events.heldBytes) }
            if (problem != null) return recordFailure(run, prepared, brokenAnswer(prepared, problem))
            run.exchange.awaitWritable()
        }
    }

    /** Forwards the events that [bytes] complete. Returns why the answer can't be forwarded, or null. */
    private fun forwardPart(
        run: RequestRun,
        progress: StreamProgress,
        head: AnswerHead,
        bytes: ByteArray,
        events: EventSplitter,
        attempt: EngineAttempt,
    ): String? {
        val output = ByteArrayOutputStream()
        var problem: String? = null
        for (event in events.add(bytes)) {
            if (!progress.isInOrder(event)) {
                problem = "an event that does not continue the stream"
                break
            }
            recordEvent(run, progress, head, event, attempt)
            output.writeBytes(event.bytes)
        }
        // Together, since each write is a call of the system.
        if (output.size() > 0) run.exchange.send(output.toByteArray())
        return problem ?: "an endless event".takeIf { events.isTooLarge }
    }

    /** Finishes an attempt with its last [part], null when the wait for it timed out. */
    private fun finishAttempt(
        run: RequestRun,
        prepared: PreparedEngine,
        progress: StreamProgress,
        head: AnswerHead,
        events: EventSplitter,
        part: AnswerPart?,
    ): AttemptEnd = when (part) {
        is AnswerPart.End -> {
            if (isCutOff(head, events) || (progress.isContinued && events.count == 0)) {
                val failure = brokenAnswer(prepared, "the stream ended before the end of an event")
                recordFailure(
                    run,
                    prepared,
                    failure,
                    isDisconnect = head.framing == BodyFraming.CONNECTION,
                    events = events.count,
                )
            } else {
                if (!progress.isStarted) start(run, progress, head)
                run.exchange.finish()
                choice.recordSuccess(run, prepared)
                errors.recordAnswer(prepared.engine, head.status)
                crashGuard.recordCompletion(run.sharedParts)
                AttemptEnd.Delivered(head.status)
            }
        }

        is AnswerPart.Broken -> {
            val failure = brokenAnswer(prepared, part.reason)
            recordFailure(run, prepared, failure, isDisconnect = part.isDisconnect, events = events.count)
        }

        null -> {
            recordFailure(run, prepared, run.timeoutFailure(prepared.engine.endpoint.address))
        }

        is AnswerPart.Head, is AnswerPart.Body -> {
            recordFailure(run, prepared, brokenAnswer(prepared, "a second head in one answer"))
        }
    }

    private fun recordEvent(
        run: RequestRun,
        progress: StreamProgress,
        head: AnswerHead,
        event: StreamEvent,
        attempt: EngineAttempt,
    ) {
        if (!progress.isStarted) start(run, progress, head)
        if (!progress.hasOutput) {
            progress.hasOutput = true
            run.trace.firstOutputMilliseconds = run.elapsedMilliseconds()
        }
        attempt.recordFirstOutput()
        if (!progress.isCounted) {
            progress.isCounted = true
            usage.recordStart(run.admitted, System.currentTimeMillis())
        }
        if (event.id != null) progress.lastEvent = event.id
    }

    /** Whether the stream ended within an event, or ended with its connection before the first one. */
    private fun isCutOff(head: AnswerHead, events: EventSplitter): Boolean =
        events.hasPartialEvent || (head.framing == BodyFraming.CONNECTION && events.count == 0)

    private fun start(run: RequestRun, progress: StreamProgress, head: AnswerHead) {
        progress.recordStart(head)
        run.exchange.start(head.status, head.headers.withoutHopByHopHeaders())
    }

    /** Delivers an answer that is not a stream, such as an error produced by the engine. */
    private suspend fun sendError(
        run: RequestRun,
        prepared: PreparedEngine,
        progress: StreamProgress,
        started: AttemptStart.Answering,
    ): AttemptEnd {
        val address = prepared.engine.endpoint.address
        val body = awaitWithin(run.timeLeft()) { started.answer.readBody(address) }
            ?: return recordFailure(run, prepared, run.timeoutFailure(address))
        val bytes = body.fold({ return recordFailure(run, prepared, it) }, { it })
        errors.recordAnswer(prepared.engine, started.head.status)
        val isWithoutProof = progress.isStarted || started.head.isNotRunStatus || started.head.isSuccess
        if (isWithoutProof || (started.head.isServerError && canRetryAnswered(run))) {
            val reason = "answered ${started.head.status}" + if (isWithoutProof) " without proof" else ""
            return recordFailure(run, prepared, brokenAnswer(prepared, reason))
        }
        run.exchange.respond(started.head.status, started.head.headers.withoutHopByHopHeaders(), bytes)
        return AttemptEnd.Delivered(started.head.status)
    }

    /** Whether a request that an engine answered with an error may be sent to another engine. */
    private fun canRetryAnswered(run: RequestRun): Boolean = run.admitted.route.kind.isRepeatable &&
        run.canRetry(Effect.UNKNOWN) && retries.isRetryAllowed(run.admitted.service) && choice.hasAlternative(run)

    /** Waits for the next part; before the first output of a retryable request, only while the engine is responsive. */
    private suspend fun awaitNextPart(
        run: RequestRun,
        attempt: EngineAttempt,
        started: AttemptStart.Answering,
    ): AnswerPart? {
        val hasAttemptsLeft =
            run.admitted.route.kind.isRepeatable && run.trace.endpoints.size < run.admitted.route.maximumAttempts
        return if (hasAttemptsLeft && !attempt.hasOutput) {
            attempt.awaitWhileResponsive(run::timeLeft) { started.answer.next() }
        } else {
            awaitWithin(run.timeLeft()) { started.answer.next() }
        }
    }

    private fun recordFailure(
        run: RequestRun,
        prepared: PreparedEngine,
        failure: Failure,
        isDisconnect: Boolean = false,
        events: Int = 0,
    ): AttemptEnd {
        choice.recordFailure(run, prepared, failure, refusal = null)
        return AttemptEnd.Failed(failure, isDisconnect, events)
    }

    private fun recordFailure(run: RequestRun, prepared: PreparedEngine, started: AttemptStart.Failed): AttemptEnd {
        choice.recordFailure(run, prepared, started.failure, started.refusal)
        return AttemptEnd.Failed(started.failure, started.isDisconnect, events = 0)
    }

    private fun brokenAnswer(prepared: PreparedEngine, reason: String) =
        Failure(Step.READ_ANSWER, Peer(prepared.engine.endpoint.address), Effect.UNKNOWN, reason)

    private fun createRunEnd(run: RequestRun, progress: StreamProgress, failure: Failure): RunEnd = when {
        progress.isStarted -> RunEnd.BrokenOff(failure.message)
        run.mayHaveRun -> RunEnd.Failed(failure.message, isTimeout = run.timeLeft() == Duration.ZERO)
        else -> choice.createUnplacedEnd(run, failure.message, RETRY_PAUSE)
    }

    private companion object {
        /** A full engine frees capacity after about one request. */
        val RETRY_PAUSE = 150.milliseconds

        /** The request can't be served before the engines or its prompt have changed. */
        val QUARANTINE_RETRY_AFTER = 60.seconds
    }
}
