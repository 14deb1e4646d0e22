package org.nutmegspring.quarantine

import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A fleet of instances and engines on virtual time, for [PromptQuarantine].
 *
 * Requests come at any instance. Most are sound; those with [CRASHING_PART] end each engine that begins to answer them.
 * All share their first part, and some sound ones a rare part. Reports get lost.
 */
internal class QuarantineFleet(seed: Int, private val settings: FleetSettings) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at.nanoseconds }, { it.number }))
    private var now = MonotonicTime.ZERO
    private var eventCount = 0L
    private var lifetimes = 0L
    private val engines = List(settings.engines) { Engine(EngineLifetime(++lifetimes)) }
    private var instances = List(settings.instances) { createQuarantine() }

    /** When engines crashed under the crashing part. */
    val crashes = mutableListOf<MonotonicTime>()

    /** When requests with the crashing part were sent to engines. */
    val dispatches = mutableListOf<MonotonicTime>()

    /** When sound requests were refused, by their rare part. */
    val wrongRefusals = mutableListOf<MonotonicTime>()

    private class Event(val at: MonotonicTime, val number: Long, val run: () -> Unit)

    private class Engine(var lifetime: EngineLifetime) {
        var isUp = true
        val inFlight = mutableListOf<Run>()
    }

    private class Run(val instance: Int, val parts: List<PromptPartId>, val attempt: Int) {
        var hasOutput = false
    }

    /** Plays [duration]. */
    fun play(duration: Duration) {
        val end = MonotonicTime.ZERO + duration
        every(settings.soundInterval) { arrive(soundParts()) }
        after(settings.crashingStart) { every(settings.crashingInterval) { arrive(crashingParts()) } }
        settings.ordinaryCrashInterval?.let { every(it) { crash(engines.random(random)) } }
        settings.falseDisconnectInterval?.let { every(it) { disconnect(engines.random(random)) } }
        settings.restartInterval?.let { every(it) { restart(random.nextInt(settings.instances)) } }
        instances.indices.forEach { index ->
            after(settings.reportInterval * random.nextDouble()) {
                every(settings.reportInterval, isRandom = false) { report(index) }
            }
        }
        every(UPDATE_INTERVAL, isRandom = false) { instances.forEach { it.update(now) } }
        while (true) {
            val event = events.poll() ?: return
            if (event.at > end) return
            now = event.at
            event.run()
        }
    }

    /** Returns the parts that each instance has quarantined. */
    fun quarantinedParts(): List<Set<PromptPartId>> = instances.map { it.quarantinedParts }

    private fun createQuarantine() =
        PromptQuarantine(now) { (settings.reportInterval * 2).coerceIn(300.milliseconds, 1300.milliseconds) }

    private fun after(delay: Duration, run: () -> Unit) {
        events += Event(now + delay, eventCount++, run)
    }

    private fun every(interval: Duration, isRandom: Boolean = true, run: () -> Unit) {
        after(if (isRandom) interval * (2 * random.nextDouble()) else interval) {
            run()
            every(interval, isRandom, run)
        }
    }

    private fun soundParts(): List<PromptPartId> {
        val rare = PromptPartId(RARE_PARTS + random.nextLong(settings.rareParts))
        return if (random.nextBoolean()) listOf(FIRST_PART) else listOf(FIRST_PART, rare)
    }

    private fun crashingParts(): List<PromptPartId> {
        val rare = PromptPartId(RARE_PARTS + random.nextLong(settings.rareParts))
        return if (random.nextBoolean()) listOf(FIRST_PART, CRASHING_PART) else listOf(FIRST_PART, rare, CRASHING_PART)
    }

    private fun arrive(parts: List<PromptPartId>) = send(Run(random.nextInt(settings.instances), parts, attempt = 1))

    private fun send(run: Run) {
        val isCrashing = CRASHING_PART in run.parts
        if (instances[run.instance].refuse(run.parts, now) != null) {
            if (!isCrashing) wrongRefusals += now
            return
        }
        val engine = engines.filter { it.isUp }.randomOrNull(random) ?: return
        if (isCrashing) dispatches += now
        engine.inFlight += run
        val lifetime = engine.lifetime
        after(PREFILL_TIME * (0.5 + random.nextDouble())) { if (engine.lifetime == lifetime) begin(engine, run) }
    }

    private fun begin(engine: Engine, run: Run) {
        if (run !in engine.inFlight) return
        if (CRASHING_PART in run.parts) {
            crashes += now
            return crash(engine)
        }
        run.hasOutput = true
        after(ANSWER_TIME * (0.5 + random.nextDouble())) {
            if (engine.inFlight.remove(run)) instances[run.instance].recordCompletion(run.parts, now)
        }
    }

    private fun crash(engine: Engine) {
        if (!engine.isUp) return
        engine.isUp = false
        val lifetime = engine.lifetime
        breakOff(engine) { instances[it.instance].recordCrash(it.parts, lifetime, now) }
        after(RESTART_TIME * (0.7 + 0.6 * random.nextDouble())) {
            engine.lifetime = EngineLifetime(++lifetimes)
            engine.isUp = true
        }
    }

    /** Breaks all answers of [engine], which goes on listening: not recorded, since the probe tells it from a crash. */
    private fun disconnect(engine: Engine) = breakOff(engine) { }

    private fun breakOff(engine: Engine, record: (Run) -> Unit) {
        val broken = engine.inFlight.toList()
        engine.inFlight.clear()
        broken.filter { !it.hasOutput }.forEach(record)
        broken.filter { it.attempt < MAXIMUM_ATTEMPTS }.forEach { retry(it, now) }
    }

    private fun retry(run: Run, brokenAt: MonotonicTime) {
        val again = Run(run.instance, run.parts, run.attempt + 1)
        if (now - brokenAt > MAXIMUM_RETRY_WAIT) return
        val reportsDue = brokenAt + minOf(settings.reportInterval * 2, MAXIMUM_REPORT_WAIT)
        val isDue = when (instances[run.instance].decideRetry(run.parts, now)) {
            RetryDecision.RETRY -> true
            RetryDecision.RETRY_AFTER_REPORTS -> now >= reportsDue
            RetryDecision.WAIT -> false
            RetryDecision.REFUSE -> return
        }
        if (isDue) send(again) else after(RETRY_CHECK) { retry(run, brokenAt) }
    }

    private fun report(from: Int) {
        val reports = instances[from].nextReports(settings.reportedParts, now)
        instances.indices.filter { it != from && random.nextDouble() >= settings.reportLoss }.forEach { to ->
            after(TRANSIT_TIME * (1 + random.nextDouble())) { reports.forEach { instances[to].applyReport(it, now) } }
        }
    }

    private fun restart(index: Int) {
        instances = instances.toMutableList().also { it[index] = createQuarantine() }
    }

    companion object {
        val FIRST_PART = PromptPartId(1)
        val CRASHING_PART = PromptPartId(2)
        private const val RARE_PARTS = 1_000L
        private const val MAXIMUM_ATTEMPTS = 2
        private val UPDATE_INTERVAL = 100.milliseconds
        private val PREFILL_TIME = 60.milliseconds
        private val ANSWER_TIME = 250.milliseconds
        private val RESTART_TIME = 3.seconds
        private val TRANSIT_TIME = 2.milliseconds
        private val RETRY_CHECK = 20.milliseconds
        private val MAXIMUM_REPORT_WAIT = 500.milliseconds
        private val MAXIMUM_RETRY_WAIT = 1500.milliseconds
    }
}

/**
 * The size and the troubles of a [QuarantineFleet]. Intervals are means.
 *
 * @property rareParts how many rare parts sound requests choose from
 * @property ordinaryCrashInterval the time between crashes of engines that no request causes
 * @property falseDisconnectInterval the time between disconnects of engines that go on listening
 * @property restartInterval the time between restarts of instances
 */
internal data class FleetSettings(
    val instances: Int,
    val engines: Int,
    val reportInterval: Duration,
    val reportedParts: Int,
    val reportLoss: Double = 0.2,
    val soundInterval: Duration = 10.milliseconds,
    val crashingStart: Duration = 5.seconds,
    val crashingInterval: Duration = 80.milliseconds,
    val rareParts: Long = 200,
    val ordinaryCrashInterval: Duration? = 2.seconds,
    val falseDisconnectInterval: Duration? = 1.seconds,
    val restartInterval: Duration? = 8.seconds,
)
