package org.nutmegspring.admission

import org.nutmegspring.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Replays bursts of docs/design/uneven-load.md, part 7: 168 requests in a second where 60 are usual, from 60 instances
 * to engines that admit by priority. Instances know the queues as they were at the last report, and their own requests
 * since. In each burst an engine falls silent, and its requests are sent again after [SILENCE]. Refused callers return
 * when they are told to, and give up after [PATIENCE]. A response is on time within its objective since it was last sent
 * by the caller. Times are in milliseconds.
 */
class BurstReplaySpec {
    private class Kind(val urgency: Int, val ownTokens: Int, val objective: Double, val share: Double)

    private class Caller(val kind: Kind, val work: Double, val firstAt: Double, val instance: Int) {
        var sentAt = firstAt
    }

    private class Work(val caller: Caller, val priority: Int, val order: Int)

    private class Engine {
        val queue = PriorityQueue<Work>(compareBy({ it.priority }, { it.order }))
        var busyUntil = 0.0
        var reported = 0.0
        var isSilent = false
        var running: Work? = null
        val own = HashMap<Int, Double>()

        fun backlog(now: Double) = queue.sumOf { it.caller.work } + maxOf(0.0, busyUntil - now)
    }

    private class Result(val callers: Int) {
        var onTime = 0
        var late = 0
        var lost = 0
        var refusals = 0

        fun add(other: Result) = Result(callers + other.callers).also {
            it.onTime = onTime + other.onTime
            it.late = late + other.late
            it.lost = lost + other.lost
            it.refusals = refusals + other.refusals
        }

        override fun toString() = "of %d callers %.3f on time, %.3f late, %.3f gave up; %.2f refusals each".format(
            callers,
            onTime.toDouble() / callers,
            late.toDouble() / callers,
            lost.toDouble() / callers,
            refusals.toDouble() / callers,
        )
    }

    private inner class Replay(
        seed: Int,
        private val reports: Double,
        private val usesPriority: Boolean,
        private val spreadsReturns: Boolean,
    ) {
        private val random = Random(seed)
        private val limit = QueueWaitLimit()
        private val kinds = listOf(
            Kind(3, 3_720, 627.0, 0.395),
            Kind(2, 2_890, 1_219.0, 0.297),
            Kind(1, 1_110, 411.0, 0.308),
        )
        private val priority = DispatchPriority(kinds.map { it.urgency })
        private val schedules = List(INSTANCES) { ReturnSchedule() }
        private val engines = List(ENGINES) { Engine() }
        private val events = PriorityQueue<Pair<Double, () -> Unit>>(compareBy { it.first })
        private var now = 0.0
        private var order = 0
        private lateinit var result: Result

        fun run(): Result {
            val callers = createCallers()
            result = Result(callers.size)
            callers.forEach { caller -> schedule(caller.firstAt) { send(caller) } }
            for (at in generateSequence(0.0) { it + reports }.takeWhile { it < END + 5_000 }) schedule(at, ::report)
            for (at in generateSequence(300.0) {
                it + BURST_PERIOD
            }.takeWhile { it < END }) {
                schedule(at) { lose(engines.random(random)) }
            }
            while (true) {
                val (at, action) = events.poll() ?: break
                now = at
                action()
            }
            assertEquals(callers.size, result.onTime + result.late + result.lost, "callers")
            return result
        }

        private fun createCallers(): List<Caller> {
            val callers = mutableListOf<Caller>()
            var at = 0.0
            while (true) {
                val rate = if (at % BURST_PERIOD < 1_000) 168.0 else 60.0
                at += -ln(1 - random.nextDouble()) * 1_000 / rate
                if (at > END) return callers
                var drawn = random.nextDouble()
                val kind =
                    kinds.firstOrNull { kind -> (drawn < kind.share).also { drawn -= kind.share } } ?: kinds.last()
                val work = kind.ownTokens / TOKENS_PER_MILLISECOND * (0.5 + random.nextDouble())
                callers += Caller(kind, work, at, random.nextInt(INSTANCES))
            }
        }

        private fun report() = engines.forEach {
            it.reported = it.backlog(now)
            it.own.clear()
        }

        private fun send(caller: Caller) {
            caller.sentAt = now
            dispatch(caller)
        }

        private fun lose(engine: Engine) {
            val lost = engine.queue.map { it.caller } + listOfNotNull(engine.running?.caller)
            engine.queue.clear()
            engine.running = null
            engine.isSilent = true
            engine.busyUntil = now
            lost.forEach { caller -> schedule(now + SILENCE) { dispatch(caller) } }
            schedule(now + OUTAGE) { engine.isSilent = false }
        }

        private fun dispatch(caller: Caller) {
            val elapsed = (now - caller.sentAt)
            val engine = engines.filter { !it.isSilent }.minBy { knownWait(it, caller) + random.nextDouble() * CHANCE }
            val wait = knownWait(engine, caller)
            val expected = wait + caller.work + FIRST_STEP
            val decision = limit.decide(wait.milliseconds, expected.milliseconds, 411.milliseconds, 2.seconds)
            if (decision is QueueWaitDecision.Refuse && elapsed == 0.0) return refuse(caller, decision.retryAfter)
            val isLate = DispatchPriority.isLate(
                elapsed.milliseconds,
                expected.milliseconds,
                caller.kind.objective.milliseconds,
            )
            val value = if (usesPriority) priority.find(caller.kind.urgency, isLate) else caller.kind.urgency
            engine.own.merge(caller.instance, caller.work, Double::plus)
            engine.queue += Work(caller, value, order++)
            startNext(engine)
        }

        private fun knownWait(engine: Engine, caller: Caller): Double {
            val reported = maxOf(0.0, engine.reported - now % reports)
            return reported + (engine.own[caller.instance] ?: 0.0)
        }

        private fun refuse(caller: Caller, excess: Duration) {
            result.refusals++
            val turn = (caller.work * INSTANCES / ENGINES).milliseconds
            val time = MonotonicTime((now * 1e6).toLong())
            val told = if (spreadsReturns) {
                schedules[caller.instance].book(caller.kind.urgency, excess, turn, time)
            } else {
                excess
            }
            val pause = told.coerceAtLeast(50.milliseconds) * (1 + random.nextDouble() * 0.5)
            val returnAt = now + pause.inWholeMicroseconds / 1e3
            if (returnAt - caller.firstAt > PATIENCE) result.lost++ else schedule(returnAt) { send(caller) }
        }

        private fun startNext(engine: Engine) {
            if (engine.busyUntil > now) return
            val work = engine.queue.poll() ?: return
            engine.busyUntil = now + work.caller.work
            engine.running = work
            schedule(engine.busyUntil) {
                if (engine.running !== work) return@schedule
                engine.running = null
                val isOnTime = now + FIRST_STEP - work.caller.sentAt <= work.caller.kind.objective
                if (isOnTime) result.onTime++ else result.late++
                startNext(engine)
            }
        }

        private fun schedule(at: Double, action: () -> Unit) {
            events += at to action
        }
    }

    private fun play(reports: Double, name: String, usesPriority: Boolean, spreadsReturns: Boolean): Result =
        (1..SEEDS).map { Replay(it, reports, usesPriority, spreadsReturns).run() }.reduce { sum, next -> sum.add(next) }
            .also { println("burst, reports every $reports ms, $name: $it") }

    /**
     * Guards against late requests that make others late, and against refused callers that return together. Both parts
     * of the rule are measured alone as well.
     */
    @Test
    fun `more callers are served on time than by urgency alone, and fewer are refused`() {
        for (reports in listOf(600.0, 100.0)) {
            val present = play(reports, "present rule", usesPriority = false, spreadsReturns = false)
            val priority = play(reports, "late requests behind others", usesPriority = true, spreadsReturns = false)
            val returns = play(reports, "returns in turn", usesPriority = false, spreadsReturns = true)
            val both = play(reports, "both", usesPriority = true, spreadsReturns = true)
            assertTrue(priority.onTime > present.onTime, "late requests behind others")
            assertTrue(returns.onTime > present.onTime, "returns in turn")
            assertTrue(both.onTime > present.onTime, "both")
            assertTrue(both.refusals < present.refusals, "refusals")
            assertTrue(both.lost < both.callers * 0.01, "callers that gave up")
        }
    }

    private companion object {
        const val SEEDS = 20
        const val INSTANCES = 60
        const val ENGINES = 5
        const val TOKENS_PER_MILLISECOND = 56.1
        const val BURST_PERIOD = 5_000.0
        const val END = 60_000.0
        const val CHANCE = 60.0
        const val SILENCE = 500.0
        const val OUTAGE = 2_000.0
        const val FIRST_STEP = 40.0
        const val PATIENCE = 3_000.0
    }
}
