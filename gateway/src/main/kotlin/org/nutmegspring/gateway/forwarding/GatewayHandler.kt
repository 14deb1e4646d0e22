package org.nutmegspring.gateway.forwarding

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.gateway.http.CallerExchange
import org.nutmegspring.gateway.http.RequestHandler
import org.nutmegspring.gateway.http.UnansweredRequest
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.EventLoopDelay
import org.nutmegspring.gateway.observe.RequestOutcome
import org.nutmegspring.gateway.wire.RequestFacts
import org.nutmegspring.gateway.wire.ServingDialect
import org.nutmegspring.quota.QuotaDecision
import org.nutmegspring.time.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Serves the requests of callers: admits or refuses each, forwards it and records its outcome. */
class GatewayHandler(
    private val dialect: ServingDialect,
    private val admission: Admission,
    private val quotas: QuotaTable,
    private val retries: ServiceRetries,
    private val running: RunningRequests,
    private val clock: MonotonicClock,
    private val loopDelay: EventLoopDelay,
    private val recorder: RequestRecorder,
    private val log: DecisionLog,
    private val random: Random,
) : RequestHandler {
    override suspend fun handle(exchange: CallerExchange) {
        val facts = dialect.readRequest(exchange.call.headers)
        admission.decide(exchange.call.headers.host(), exchange.call.target.path(), facts).fold(
            { refusal -> refuse(exchange, facts, null, refusal) },
            { admitted ->
                // The configuration has changed since the head was read.
                if (exchange.call.isBodyDropped) return refuse(exchange, facts, admitted, UNKNOWN_ROUTE)
                charge(exchange, facts, admitted)
            },
        )
    }

    override fun readsBody(target: String, headers: HttpHeaders): Boolean =
        admission.hasRoute(headers.host(), target.path())

    private fun HttpHeaders.host() = get(HttpHeaderNames.HOST).orEmpty().substringBefore(':')

    private fun String.path() = substringBefore('?')

    override fun onUnanswered(request: UnansweredRequest) =
        recorder.recordUnanswered(dialect.readRequest(request.call.headers).id, request)

    private suspend fun charge(exchange: CallerExchange, facts: RequestFacts, admitted: AdmittedRequest) {
        val now = clock.now()
        val maximum = computeMaximumWait(admitted.route, facts.timeLeft)
        val time = CallerTime.compute(maximum, exchange.timeSinceHead, loopDelay.readDelay(now))
        if (!running.canAnswerBy(now + time.untilCut)) {
            recorder.recordStopRefusal()
            val refusal = Refusal.Unavailable("the instance stops before the request is sure to end", STOP_RETRY_AFTER)
            return refuse(exchange, facts, admitted, refusal)
        }
        val decision = admitted.organisation?.let { quotas.charge(it, admitted.tokens) }
        if (decision is QuotaDecision.Exceeded) {
            return refuse(exchange, facts, admitted, Refusal.OverQuota("over the quota", decision.retryAfter))
        }
        retries.recordRequest(admitted.service)
        val run = RequestRun(admitted, exchange, now + time.untilCut, time.readDelay, clock, log)
        serve(run, time.untilCut)
    }

    private suspend fun serve(run: RequestRun, wait: Duration) {
        val end = try {
            withTimeoutOrNull(wait) { running.forward(run) } ?: createDeadlineEnd(run)
        } catch (cancellation: CancellationException) {
            if (!currentCoroutineContext().isActive) {
                recordEnd(run, RequestOutcome.ABANDONED, 0, "the caller left")
                throw cancellation
            }
            createUnfinishedEnd(run, "the instance stopped after ${run.elapsedMilliseconds()} ms", isTimeout = false)
        }
        conclude(run, end)
    }

    private fun createDeadlineEnd(run: RequestRun): RunEnd =
        createUnfinishedEnd(run, "no answer within ${run.elapsedMilliseconds()} ms", isTimeout = true)

    /** Returns how [run] ends for [reason] while it was being forwarded. */
    private fun createUnfinishedEnd(run: RequestRun, reason: String, isTimeout: Boolean): RunEnd = when {
        run.exchange.isStarted -> RunEnd.BrokenOff(reason)
        run.trace.endpoints.isNotEmpty() -> RunEnd.Failed(reason, isTimeout)
        else -> RunEnd.NotRun(reason, MINIMUM_RETRY_AFTER)
    }

    private fun conclude(run: RequestRun, end: RunEnd) {
        if (end is RunEnd.NotRun && run.exchange.isStarted) return conclude(run, RunEnd.BrokenOff(end.reason))
        when (end) {
            is RunEnd.Delivered -> {
                recordEnd(run, RequestOutcome.DELIVERED, end.status, null)
            }

            is RunEnd.NotRun -> {
                run.admitted.organisation?.let { quotas.refund(it, run.admitted.tokens, run.startedAt) }
                answer(run.exchange, STATUS_UNAVAILABLE, end.reason, end.retryAfter)
                recordEnd(run, RequestOutcome.REFUSED, STATUS_UNAVAILABLE, end.reason)
            }

            is RunEnd.Failed -> {
                val status = if (end.isTimeout) STATUS_GATEWAY_TIMEOUT else STATUS_BAD_GATEWAY
                answer(run.exchange, status, end.reason, null)
                recordEnd(run, RequestOutcome.FAILED, status, end.reason)
            }

            is RunEnd.BrokenOff -> {
                run.exchange.abort()
                recordEnd(run, RequestOutcome.BROKEN_OFF, 0, end.reason)
            }
        }
    }

    private fun refuse(exchange: CallerExchange, facts: RequestFacts, admitted: AdmittedRequest?, refusal: Refusal) {
        val status = when (refusal) {
            is Refusal.Malformed -> STATUS_BAD_REQUEST
            is Refusal.Unauthenticated -> STATUS_UNAUTHORIZED
            is Refusal.NoRoute -> STATUS_NOT_FOUND
            is Refusal.OverQuota -> STATUS_TOO_MANY_REQUESTS
            is Refusal.Unavailable -> STATUS_UNAVAILABLE
        }
        val retryAfter = when (refusal) {
            is Refusal.OverQuota -> refusal.retryAfter
            is Refusal.Unavailable -> refusal.retryAfter
            is Refusal.Malformed, is Refusal.Unauthenticated, is Refusal.NoRoute -> null
        }
        answer(exchange, status, refusal.reason, retryAfter)
        recorder.recordRefused(facts.id, admitted, RequestEnd(RequestOutcome.REFUSED, status, refusal.reason))
    }

    private fun recordEnd(run: RequestRun, outcome: RequestOutcome, status: Int, reason: String?) =
        recorder.record(run, RequestEnd(outcome, status, reason))

    private fun answer(exchange: CallerExchange, status: Int, reason: String, retryAfter: Duration?) {
        val headers: HttpHeaders = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
        if (retryAfter != null) {
            val spread = retryAfter.coerceAtLeast(MINIMUM_RETRY_AFTER) * (1 + random.nextDouble() * RETRY_AFTER_SPREAD)
            headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(spread.toDouble(DurationUnit.SECONDS)))
        }
        exchange.respond(status, headers, reason.encodeToByteArray())
    }

    private companion object {
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_UNAUTHORIZED = 401
        const val STATUS_NOT_FOUND = 404
        const val STATUS_TOO_MANY_REQUESTS = 429
        const val STATUS_BAD_GATEWAY = 502
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_GATEWAY_TIMEOUT = 504

        /** Random share added to Retry-After, so that callers refused together do not retry together. */
        const val RETRY_AFTER_SPREAD = 0.5
        val MINIMUM_RETRY_AFTER = 50.milliseconds

        /** Short, because the other instances accept the request. */
        val STOP_RETRY_AFTER = 50.milliseconds
        val UNKNOWN_ROUTE =
            Refusal.Unavailable("the route was not known when the body arrived", MINIMUM_RETRY_AFTER)
    }
}
