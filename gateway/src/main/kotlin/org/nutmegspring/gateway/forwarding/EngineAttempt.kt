package org.nutmegspring.gateway.forwarding

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.wire.DispatchStage
import org.nutmegspring.placement.EngineSpeeds
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An engine selected for a request, the stage to run there and the expected time to first output. */
class PreparedEngine(
    val engine: EndpointState,
    val stage: DispatchStage,
    val expectedFirstOutput: Duration,
    val uncachedTokens: Long,
)

/** Tracks the load and the first output of one request at one engine. */
class EngineAttempt(
    private val clock: MonotonicClock,
    private val engine: EndpointState,
    private val expectedFirstOutput: Duration,
    private val uncachedTokens: Long,
) {
    private val startedAt = clock.now()
    private var hasFirstOutput = false
    private var isEnded = false

    /** Whether the engine has produced output. */
    val hasOutput: Boolean get() = hasFirstOutput

    /** Whether the engine has answered at all, including by a refusal. */
    var hasAnswered: Boolean = false
        private set

    private val nominalPrefill = computeNominalPrefill(engine.countQueuedTokens(startedAt) + uncachedTokens)

    init {
        engine.ownLoad.addRequest(uncachedTokens)
    }

    /** Records the first output. */
    fun recordFirstOutput() {
        if (hasFirstOutput) return
        hasFirstOutput = true
        hasAnswered = true
        engine.ownLoad.removeTokens(uncachedTokens)
        val now = clock.now()
        engine.recordAnswer(expectedFirstOutput, now - startedAt, now)
        if (uncachedTokens >= MINIMUM_LEARNT_TOKENS) engine.speed.recordPrefill(nominalPrefill, now - startedAt, now)
    }

    private fun computeNominalPrefill(tokens: Long): Duration {
        val speeds = EngineSpeeds()
        val roleFactor = if (engine.endpoint.role == EngineRole.DECODE) speeds.decodeRoleSpeedFactor else 1.0
        return (tokens / (speeds.prefillTokensPerMillisecond * roleFactor)).milliseconds + CALL_TIME
    }

    /** Records that the engine refused the work. */
    fun recordRefusal() {
        hasAnswered = true
    }

    /** Removes the request from the engine's load. Repeated calls have no effect. */
    fun recordEnd() {
        if (isEnded) return
        isEnded = true
        if (!hasFirstOutput) engine.ownLoad.removeTokens(uncachedTokens)
        engine.ownLoad.removeRequest()
    }

    /**
     * Returns how much longer to wait for the first output before the attempt is abandoned.
     *
     * An engine prefills in order of arrival. One that keeps answering other requests is busy, and abandoning it
     * would waste the prefill work done; one that answers no requests is considered unresponsive.
     */
    fun remainingWait(): Duration {
        val answeredAt = maxOf(startedAt, engine.lastAnswerAt ?: startedAt)
        return (expectedFirstOutput * WAIT_FACTOR + MINIMUM_WAIT - (clock.now() - answeredAt))
            .coerceAtLeast(Duration.ZERO)
    }

    /** Runs [block] while the engine is responsive and time is left; returns null when either ends first. */
    suspend fun <T : Any> awaitWhileResponsive(timeLeft: () -> Duration, block: suspend () -> T?): T? = coroutineScope {
        val work = async { block() }
        while (true) {
            val wait = minOf(timeLeft(), remainingWait())
            if (wait <= Duration.ZERO) break
            withTimeoutOrNull(wait + ROUNDING) { work.join() }
            if (work.isCompleted) return@coroutineScope work.await()
        }
        work.cancel()
        null
    }

    private companion object {
        /** Estimates are rough: an engine counts as unresponsive after this multiple of the expected time. */
        const val WAIT_FACTOR = 2.0
        val MINIMUM_WAIT = 400.milliseconds

        /** With fewer tokens the way to the engine and its current step take most of the time. */
        const val MINIMUM_LEARNT_TOKENS = 1_000L

        /** What a prefill takes beyond its tokens: the way to the engine and the rest of its current step. */
        val CALL_TIME = 10.milliseconds

        /** Timers have millisecond resolution. */
        val ROUNDING = 1.milliseconds
    }
}
