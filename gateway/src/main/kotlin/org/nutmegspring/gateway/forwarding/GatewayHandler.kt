package org.nutmegspring.gateway.forwarding

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.gateway.configuration.RouteKind
import org.nutmegspring.gateway.http.CallerExchange
import org.nutmegspring.gateway.http.RequestHandler
import org.nutmegspring.gateway.observe.DecisionBasis
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.GatewayMetrics
import org.nutmegspring.gateway.observe.RequestOutcome
import org.nutmegspring.gateway.observe.RequestTrace
import org.nutmegspring.gateway.wire.RequestFacts
import org.nutmegspring.gateway.wire.ServingDialect
import org.nutmegspring.identity.RequestId
import org.nutmegspring.quota.QuotaDecision
import org.nutmegspring.time.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Serves the requests of callers: admits or refuses each, sends it on, and says how it ended. */
class GatewayHandler(
    private val dialect: ServingDialect,
    private val admission: Admission,
    private val current: CurrentConfiguration,
    private val quotas: QuotaTable,
    private val retries: ServiceRetries,
    private val services: ServiceForwarder,
    private val streams: StreamForwarder,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val random: Random,
) : RequestHandler {
    override suspend fun handle(exchange: CallerExchange) {
        val facts = dialect.readRequest(exchange.call.headers)
        val host = exchange.call.headers.get(HttpHeaderNames.HOST).orEmpty().substringBefore(':')
        val path = exchange.call.target.substringBefore('?')
        admission.decide(host, path, facts).fold(
            { refusal -> refuse(exchange, facts, null, refusal) },
            { admitted -> charge(exchange, facts, admitted) },
        )
    }

    private suspend fun charge(exchange: CallerExchange, facts: RequestFacts, admitted: AdmittedRequest) {
        val verdict = admitted.organisation?.let { quotas.charge(it, admitted.tokens) }
        if (verdict is QuotaDecision.Exceeded) {
            return refuse(exchange, facts, admitted, Refusal.OverQuota("over the quota", verdict.retryAfter))
        }
        retries.requested(admitted.service)
        val wait = longestWait(admitted.route, facts.timeLeft)
        val run = RequestRun(admitted, exchange, clock.now() + wait, clock, log)
        serve(run, wait)
    }

    private suspend fun serve(run: RequestRun, wait: Duration) {
        val end = try {
            withTimeoutOrNull(wait) {
                when (run.admitted.route.kind) {
                    is RouteKind.Streaming -> streams.serve(run)
                    RouteKind.Idempotent, RouteKind.NonIdempotent -> services.serve(run)
                }
            } ?: expired(run)
        } catch (left: CancellationException) {
            ended(run, RequestOutcome.ABANDONED, 0, "the caller left")
            throw left
        }
        conclude(run, end)
    }

    private fun expired(run: RequestRun): RunEnd {
        val isSent = run.trace.endpoints.isNotEmpty()
        val reason = "no answer within ${run.elapsedMilliseconds()} ms"
        return when {
            run.exchange.isStarted -> RunEnd.BrokenOff(reason)
            isSent -> RunEnd.Failed(reason, isTimeout = true)
            else -> RunEnd.NotRun(reason, SHORTEST_RETURN)
        }
    }

    private fun conclude(run: RequestRun, end: RunEnd) {
        if (end is RunEnd.NotRun && run.exchange.isStarted) return conclude(run, RunEnd.BrokenOff(end.reason))
        when (end) {
            is RunEnd.Delivered -> {
                ended(run, RequestOutcome.DELIVERED, end.status, null)
            }

            is RunEnd.NotRun -> {
                run.admitted.organisation?.let { quotas.refund(it, run.admitted.tokens) }
                answer(run.exchange, STATUS_UNAVAILABLE, end.reason, end.comeBackAfter)
                ended(run, RequestOutcome.REFUSED, STATUS_UNAVAILABLE, end.reason)
            }

            is RunEnd.Failed -> {
                val status = if (end.isTimeout) STATUS_GATEWAY_TIMEOUT else STATUS_BAD_GATEWAY
                answer(run.exchange, status, end.reason, null)
                ended(run, RequestOutcome.FAILED, status, end.reason)
            }

            is RunEnd.BrokenOff -> {
                run.exchange.abort()
                ended(run, RequestOutcome.BROKEN_OFF, 0, end.reason)
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
        val comeBackAfter = when (refusal) {
            is Refusal.OverQuota -> refusal.comeBackAfter
            is Refusal.Unavailable -> refusal.comeBackAfter
            is Refusal.Malformed, is Refusal.Unauthenticated, is Refusal.NoRoute -> null
        }
        answer(exchange, status, refusal.reason, comeBackAfter)
        val end = RequestEnd(RequestOutcome.REFUSED, status, refusal.reason)
        record(facts.id, admitted, end, RequestTrace())
    }

    private fun ended(run: RequestRun, outcome: RequestOutcome, status: Int, reason: String?) {
        run.trace.elapsedMilliseconds = run.elapsedMilliseconds()
        record(run.id, run.admitted, RequestEnd(outcome, status, reason), run.trace)
    }

    private class RequestEnd(val outcome: RequestOutcome, val status: Int, val reason: String?)

    private fun record(id: RequestId?, admitted: AdmittedRequest?, end: RequestEnd, trace: RequestTrace) {
        metrics.recordEnd(admitted?.route, end.outcome, end.status, trace)
        log.record(
            DecisionEvent.RequestEnded(
                id,
                admitted?.route?.name,
                admitted?.organisation?.id,
                end.outcome,
                end.status,
                end.reason,
                trace,
                beliefs(),
            ),
        )
    }

    private fun answer(exchange: CallerExchange, status: Int, reason: String, comeBackAfter: Duration?) {
        val headers: HttpHeaders = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain")
        if (comeBackAfter != null) {
            val spread = comeBackAfter.coerceAtLeast(SHORTEST_RETURN) * (1 + random.nextDouble() * RETURN_SPREAD)
            headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(spread.toDouble(DurationUnit.SECONDS)))
        }
        exchange.respond(status, headers, reason.encodeToByteArray())
    }

    private fun beliefs() = DecisionBasis(current.configuration?.version, current.evidence.age(clock.now()))

    private companion object {
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_UNAUTHORIZED = 401
        const val STATUS_NOT_FOUND = 404
        const val STATUS_TOO_MANY_REQUESTS = 429
        const val STATUS_BAD_GATEWAY = 502
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_GATEWAY_TIMEOUT = 504

        /** Callers that were refused together return spread over this part of the pause. */
        const val RETURN_SPREAD = 0.5
        val SHORTEST_RETURN = 50.milliseconds
    }
}
