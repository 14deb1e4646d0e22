package org.nutmegspring.gateway.store

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.gateway.peers.FeedAnswer
import org.nutmegspring.gateway.peers.FeedQuestion
import org.nutmegspring.gateway.peers.FeedStatementEntry
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Asks relays what has changed in the store, once for all feeds, and answers the questions of others.
 *
 * The calls to the store are charged and limited for the fleet as a whole. With relays they do not grow with the number
 * of instances while nothing changes.
 *
 * @param relays returns the addresses of the relays in the order to ask them, empty while this instance waits at the
 * store itself
 * @param send sends a question to an address; it may be lost
 */
class FeedInquiry(
    private val relays: () -> List<String>,
    private val send: (String, FeedQuestion) -> Unit,
    private val clock: MonotonicClock,
    private val ages: AgeClock,
    private val random: Random,
) {
    private class Round(val number: Long, val askedAt: MonotonicTime, val answer: FeedAnswer?)

    private class PendingQuestion(val nonce: Long, val answer: CompletableDeferred<FeedAnswer>)

    private val rounds = MutableStateFlow(Round(0, MonotonicTime.ZERO, null))
    private val progress = HashMap<String, FeedProgress>()
    private var addresses = emptyList<String>()
    private var pending: PendingQuestion? = null
    private var firstRelay = 0
    private var askedAt: MonotonicTime? = null

    /** Questions that a relay answered since the process started. */
    var answeredQuestions: Long = 0
        private set

    /** Calls to the store that the followers of this instance made since the process started. */
    var ownCalls: Long = 0
        private set

    /** Reads of a replica of the store that had what a relay had told of, since the process started. */
    var replicaReads: Long = 0
        private set

    /** Reads of a replica that was too far behind, each followed by a call to the store. */
    var outdatedReplicaReads: Long = 0
        private set

    /** Returns the witness of the followers of [feed]. */
    fun witness(feed: String): FeedWitness = object : FeedWitness {
        override suspend fun awaitStatement(): AskedStatement? {
            if (addresses.isEmpty()) return null
            val seen = rounds.value.number
            val round = rounds.first { it.number > seen }
            return round.answer?.statements?.get(feed)?.let { AskedStatement(it.toStatement(), round.askedAt) }
        }

        override val isRelay: Boolean get() = askedAt?.let { clock.now() - it < RELAY_TIME } ?: false

        override fun recordUnproved() {
            firstRelay++
        }

        override fun recordCall() {
            ownCalls++
        }

        override fun recordReplicaRead(isCaughtUp: Boolean) {
            if (isCaughtUp) replicaReads++ else outdatedReplicaReads++
        }

        override fun recordProgress(progress: FeedProgress) {
            this@FeedInquiry.progress[feed] = progress
        }
    }

    /** Asks at each interval, until the coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            rounds.value = ask()
            delay(INTERVAL)
        }
    }

    /** Returns the answer to [question] from what this instance knows. */
    fun answer(question: FeedQuestion): FeedAnswer {
        askedAt = clock.now()
        return FeedAnswer(question.nonce, progress.mapValues { FeedStatementEntry.of(it.value.toStatement(ages)) })
    }

    /** Takes the answer of a relay. One to an earlier question is passed over. */
    fun receive(answer: FeedAnswer) {
        pending?.takeIf { it.nonce == answer.nonce }?.answer?.complete(answer)
    }

    private suspend fun ask(): Round {
        val number = rounds.value.number + 1
        addresses = relays()
        repeat(minOf(MAXIMUM_QUESTIONS, addresses.size)) { attempt ->
            val question = PendingQuestion(random.nextLong(), CompletableDeferred())
            pending = question
            val askedAt = clock.now()
            send(addresses[(firstRelay + attempt) % addresses.size], FeedQuestion(question.nonce))
            val answer = withTimeoutOrNull(ANSWER_TIMEOUT) { question.answer.await() }
            if (answer != null) {
                answeredQuestions++
                firstRelay += attempt
                return Round(number, askedAt, answer)
            }
        }
        firstRelay++
        return Round(number, clock.now(), null)
    }

    private companion object {
        /** Changes are known after this and a call, well within the time for departures and configurations. */
        val INTERVAL = 400.milliseconds

        /** Several intervals, since any question may be lost. */
        val RELAY_TIME = 2.seconds

        /** Many times the way to another data centre and back. */
        val ANSWER_TIMEOUT = 120.milliseconds

        /** One question or its answer may be lost; after two, the store is asked. */
        const val MAXIMUM_QUESTIONS = 2
    }
}
