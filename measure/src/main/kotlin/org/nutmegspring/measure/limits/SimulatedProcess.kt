package org.nutmegspring.measure.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.limits.Grant
import org.nutmegspring.limits.GrantKey
import org.nutmegspring.limits.GrantRequest
import org.nutmegspring.limits.LimitShard
import org.nutmegspring.limits.LimitTable
import org.nutmegspring.limits.OrganisationReturn
import org.nutmegspring.limits.SlotHolder
import org.nutmegspring.limits.SlotRecord
import org.nutmegspring.limits.limitTable
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** The clock of a simulated process: it runs at [rate] times real time from an origin of its own. */
internal class SkewedClock(private val world: LimitWorld, private val rate: Double, private val origin: Duration) {
    /** Returns the present reading. */
    fun now(): MonotonicTime = MonotonicTime.ZERO + origin + (world.schedule.now() - MonotonicTime.ZERO) * rate
}

/** A process of one instance, at place [index] of the fleet. */
internal class SimulatedProcess(
    private val world: LimitWorld,
    val index: Int,
    val instance: InstanceId,
    val incarnation: Incarnation,
    private val clock: SkewedClock,
) {
    private val pausesWhenAsking = HashMap<OrganisationId, Duration>()
    private val deferred = ArrayList<() -> Unit>()

    /** Its limits. */
    val table: LimitTable =
        limitTable(world.options.settings, LimitWorld.SHARDS, SlotHolder(instance, incarnation), world.options.buckets)

    /** Whether it still runs. */
    var alive = true
        private set

    /** Whether it is paused. */
    var paused = false
        private set

    /** Whether it takes no new requests because it is about to stop. */
    var stopping = false
        private set

    /** Returns its own clock's reading. */
    fun now(): MonotonicTime = clock.now()

    /** Runs [action] now, after the end of a pause, or never when the process has ended. */
    fun run(action: () -> Unit) {
        when {
            !alive -> Unit
            paused -> deferred.add(action)
            else -> action()
        }
    }

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) = world.schedule.after(delay) { run(action) }

    /** Ends it at once. */
    fun kill() {
        alive = false
        deferred.clear()
    }

    /** Stops it from doing anything until [resume]. */
    fun pause() {
        paused = true
    }

    /** Pauses it for [duration] as soon as it waits for grants of [organisation]. */
    fun pauseWhenAsking(organisation: OrganisationId, duration: Duration) {
        pausesWhenAsking[organisation] = duration
    }

    /** Goes on after a pause. */
    fun resume() {
        paused = false
        val waiting = deferred.toList()
        deferred.clear()
        waiting.forEach { run(it) }
    }

    /** Begins a planned stop. */
    fun stop() {
        stopping = true
        table.stop(now())
    }

    /** The limits that it applies. */
    var applied: Map<OrganisationId, TokenRate> = emptyMap()
        private set

    /** Applies [limits]. */
    fun apply(limits: Map<OrganisationId, TokenRate>) {
        applied = limits
        table.apply(limits, now())
    }

    /** Takes from a peer who holds the slots of [shard]. */
    fun learn(shard: LimitShard, record: SlotRecord) = table.acceptSlotHint(shard, record, now())

    /** Sends [asks] of [organisation] and calls [done] when each was answered or given up. */
    fun collect(organisation: OrganisationId, asks: List<GrantRequest>, done: () -> Unit) {
        val askedAt = now()
        val unanswered = asks.associateByTo(HashMap()) { it.number }
        asks.forEach { ask ->
            world.ask(this, organisation, ask) { grant ->
                val received = world.options.lifetimeFrom(askedAt, now())
                table.ledger(organisation, now())?.recordGrant(ask, grant, received, now())
                if (unanswered.remove(ask.number) != null && unanswered.isEmpty()) done()
            }
        }
        pausesWhenAsking.remove(organisation)?.let { duration ->
            pause()
            world.schedule.after(duration) { resume() }
        }
        after(LimitWorld.askTimeout) {
            if (unanswered.isEmpty()) return@after
            unanswered.values.forEach { table.ledger(organisation, now())?.recordUnanswered(it, now()) }
            unanswered.clear()
            done()
        }
    }

    /** Answers an ask of [from]. */
    fun grant(from: SimulatedProcess, organisation: OrganisationId, ask: GrantRequest): Grant {
        val key = GrantKey(from.instance, from.incarnation, ask.number)
        val ledger = table.ledger(organisation, now()) ?: return Grant(ask.number, 0, 0)
        return ledger.grant(key, ask.needed, ask.wanted, now())
    }

    /** Takes a report of [from]. */
    fun takeBack(from: SimulatedProcess, returned: OrganisationReturn) {
        val key = GrantKey(from.instance, from.incarnation, returned.grant.number)
        table.existingLedger(returned.organisation)?.reclaim(key, returned.grant.unspent, now())
    }

    /** Sends what has to be reported, and goes on doing so. */
    fun keepReporting() {
        report()
        after(LimitWorld.reportInterval) { keepReporting() }
    }

    /** Sends what has to be reported. */
    fun report() {
        table.drainReports(now()).forEach { (holder, returns) -> world.report(this, holder, returns) }
    }
}
