package org.nutmegspring.measure.confirmations

import arrow.core.Either
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.identity.RequestId
import org.nutmegspring.node.execution.ServiceOutcome
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How a caller protects its work against running twice. */
internal enum class KeyKind(val label: String) {
    /** Not at all: it sends the work once. */
    NONE("no-key"),

    /** By a key of its own making. */
    OWN("own-key"),

    /** By a ticket. */
    TICKET("ticket"),
}

/**
 * A caller that wants the work of [intent] done and repeats its request, also at two instances at once.
 *
 * It begins anew, with a ticket, only when every attempt so far was refused as not run.
 */
internal class VirtualCaller(
    private val world: ExecutionWorld,
    private val intent: Intent,
    private val kind: KeyKind,
    private val fleet: () -> List<VirtualInstance>,
) {
    private var key: IdempotencyKey? = null
    private var attemptsLeft = world.random.nextInt(1, MAXIMUM_ATTEMPTS)
    private var pending = 0
    private var done = false

    /** Sends the first attempt, and sometimes a second one at the same time. */
    fun start() {
        key = when (kind) {
            KeyKind.NONE -> null
            KeyKind.OWN -> IdempotencyKey("key-${intent.number}")
            KeyKind.TICKET -> ticket()
        }
        send()
        if (key != null && world.chance(RACING)) send()
    }

    private fun ticket(): IdempotencyKey = fleet().random(world.random).issueTicket()

    private fun send() {
        if (attemptsLeft == 0) return
        attemptsLeft--
        pending++
        val request = RequestId("r${intent.number}-${world.random.nextLong().toULong()}")
        val instance = fleet().random(world.random)
        var open = true
        val receive = { outcome: Either<Failure, ServiceOutcome> ->
            if (open) {
                open = false
                pending--
                take(request, outcome)
            }
        }
        if (instance.process.alive) {
            instance.call(intent, request, key, receive)
            world.schedule.after(PATIENCE) { receive(Either.Left(TIMED_OUT)) }
        } else {
            world.schedule.after(1.milliseconds) { receive(Either.Left(REFUSED)) }
        }
    }

    private fun take(request: RequestId, outcome: Either<Failure, ServiceOutcome>) {
        outcome.fold(
            { world.ledger.told(intent, request, it) },
            { world.ledger.answered(intent, it.answer.body.decodeToString()) },
        )
        if (!intent.answered && attemptsLeft > 0 && mayRepeat()) {
            world.schedule.after(world.between(1.milliseconds, 5.seconds)) { repeat() }
            pending++
        } else if (pending == 0 && !done) {
            done = true
            world.ledger.ended(intent)
        }
    }

    /** Without a key, an attempt that may have run must be the last. */
    private fun mayRepeat(): Boolean = key != null || !intent.unknown

    private fun repeat() {
        pending--
        val allRefused = pending == 0 && !intent.unknown && !intent.answered
        if (allRefused && key != null && world.chance(CHANGE_TO_TICKET)) key = ticket()
        send()
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 7
        const val RACING = 0.3
        const val CHANGE_TO_TICKET = 0.5
        val PATIENCE = 12.seconds
        val TIMED_OUT = Failure(Step.READ_ANSWER, Peer.CALLER, Effect.UNKNOWN, "the caller's patience ended")
        val REFUSED = Failure(Step.CONNECT, Peer.CALLER, Effect.NOT_RUN, "connection refused")
    }
}
