package org.nutmegspring.gateway.forwarding

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.gateway.endpoints.EndpointState
import org.nutmegspring.gateway.wire.DispatchStage
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An engine to which a request can be sent, and the part of the work that it is asked for. */
class PreparedEngine(
    val engine: EndpointState,
    val stage: DispatchStage,
    val expected: Duration,
    val unreadTokens: Long,
)

/** The work of one request at one engine, while it lasts. */
class EngineTicket(
    private val clock: MonotonicClock,
    private val engine: EndpointState,
    private val expected: Duration,
    private val unreadTokens: Long,
) {
    private val began = clock.now()
    private var isRead = false
    private var isEnded = false

    /** Whether the engine has made output. */
    val hasOutput: Boolean get() = isRead

    /** Whether the engine has answered at all, be it by a refusal. */
    var hasAnswered: Boolean = false
        private set

    init {
        engine.own.addRequest(unreadTokens)
    }

    /** Records the first output. */
    fun firstOutput() {
        if (isRead) return
        isRead = true
        hasAnswered = true
        engine.own.removeTokens(unreadTokens)
        engine.recordAnswer(expected, clock.now() - began, clock.now())
    }

    /** Records that the engine refused the work. */
    fun refused() {
        hasAnswered = true
    }

    /** Records the end. */
    fun ended() {
        if (isEnded) return
        isEnded = true
        if (!isRead) engine.own.removeTokens(unreadTokens)
        engine.own.removeRequest()
    }

    /**
     * Returns how much longer the first output is waited for before the engine is given up.
     *
     * An engine reads in the order of arrival. One that goes on answering other requests is busy, and giving it up
     * would waste what it has read; one that answers nobody is dark.
     */
    fun patience(): Duration {
        val lastSign = maxOf(began, engine.lastAnswerAt ?: began)
        return (expected * PATIENCE_FACTOR + LEAST_PATIENCE - (clock.now() - lastSign)).coerceAtLeast(Duration.ZERO)
    }

    /** Runs [block] while the engine shows that it lives and time is left; returns null when that ends first. */
    suspend fun <T : Any> whileAlive(timeLeft: () -> Duration, block: suspend () -> T?): T? = coroutineScope {
        val work = async { block() }
        while (true) {
            val wait = minOf(timeLeft(), patience())
            if (wait <= Duration.ZERO) break
            withTimeoutOrNull(wait + ROUNDING) { work.join() }
            if (work.isCompleted) return@coroutineScope work.await()
        }
        work.cancel()
        null
    }

    private companion object {
        /** Estimates are rough; an engine that answers nobody for this many times as long is dark. */
        const val PATIENCE_FACTOR = 2.0
        val LEAST_PATIENCE = 400.milliseconds

        /** Timers work in whole milliseconds. */
        val ROUNDING = 1.milliseconds
    }
}
