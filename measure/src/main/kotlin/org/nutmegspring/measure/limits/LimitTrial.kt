package org.nutmegspring.measure.limits

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.limits.LimitSettings
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What happens to the platform during a trial.
 *
 * @property outage whether the store is down from a fifth of the trial to four fifths of it
 * @property kill whether an instance ends and is replaced while the store is down
 */
internal enum class TrialConditions(val outage: Boolean, val kill: Boolean) {
    /** Nothing. */
    NORMAL(false, false),

    /** The store is down. */
    OUTAGE(true, false),

    /** The store is down, and meanwhile an instance ends and is replaced. */
    OUTAGE_AND_KILL(true, true),
}

/** Runs the same requests through the product, equal parts and a central bucket, beside ideal buckets. */
internal class LimitTrial(seed: Long, private val conditions: TrialConditions, private val length: Duration) {
    private val random = Random(seed)
    private val workload = LimitWorkload(Random(random.nextLong()))
    private val limits = workload.organisations.mapValues { it.value.limit }
    private val options = WorldOptions(LimitSettings(), INSTANCES, CLOCK_SPREAD, slotInterval)
    private val world = LimitWorld(options, Random(random.nextLong()), limits)
    private val begin = MonotonicTime.ZERO + warmUp
    private lateinit var ideal: PartBuckets
    private lateinit var slow: PartBuckets
    private lateinit var parts: List<PartBuckets>
    private var centralReachable = true

    /** The verdicts of the product. */
    val product = Verdicts(limits, begin)

    /** The verdicts of equal parts for each instance. */
    val equalParts = Verdicts(limits, begin)

    /** The verdicts of a central bucket, whose holder must renew a lease in the store. */
    val central = Verdicts(limits, begin)

    /** The verdicts of one bucket for the whole fleet whose clock is as slow as the settings tolerate. */
    val slowClock = Verdicts(limits, begin)

    /** How many messages the instances sent for each request. */
    val messagesPerRequest: Double get() = world.network.messages.toDouble() / requests

    private var requests = 0L

    /** Runs the trial. */
    fun run(): LimitTrial {
        world.schedule.runUntil(begin)
        ideal = PartBuckets(world.schedule, limits, 1)
        slow = PartBuckets(world.schedule, limits, 1, 1 - options.settings.clockRateTolerance)
        parts = List(INSTANCES) { PartBuckets(world.schedule, limits, INSTANCES) }
        limits.keys.forEach { arrive(it) }
        if (conditions.outage) breakStore()
        if (conditions.kill) world.schedule.after(length * KILL_AT) { replace() }
        world.schedule.runUntil(begin + length)
        return this
    }

    private fun breakStore() {
        world.schedule.after(length * OUTAGE_BEGINS) { world.store.down = true }
        world.schedule.after(length * OUTAGE_BEGINS + centralLease) { centralReachable = false }
        world.schedule.after(length * OUTAGE_ENDS) {
            world.store.down = false
            centralReachable = true
        }
    }

    private fun replace() {
        val ended = world.processes.first()
        ended.kill()
        world.listing.remove(ended.instance)
        world.schedule.after(replacementDelay) { world.restart(ended.index, sameId = false) }
    }

    private fun arrive(organisation: OrganisationId) {
        val elapsed = world.schedule.now() - begin
        val pace = workload.organisations.getValue(organisation).requestsPerSecond(elapsed)
        world.schedule.after(workload.gap(pace)) {
            decide(workload.request(organisation))
            arrive(organisation)
        }
    }

    private fun decide(request: SimulatedRequest) {
        requests++
        val now = world.schedule.now()
        val index = workload.instance(request.organisation, now - begin, INSTANCES)
        val process = world.processes[index].let { if (it.alive) it else world.processes.last() }
        val byIdeal = ideal.admit(request)
        equalParts.add(request, parts[process.index].admit(request), byIdeal, now, now)
        slowClock.add(request, slow.admit(request), byIdeal, now, now)
        central.add(request, byIdeal && centralReachable, byIdeal, now, now)
        ChargeBeforeDispatch.arrive(process, request, ProductListener(byIdeal, now))
    }

    private inner class ProductListener(private val ideal: Boolean, private val arrival: MonotonicTime) :
        RequestListener {
        override fun dispatched(request: SimulatedRequest) =
            product.add(request, true, ideal, arrival, world.schedule.now())

        override fun refused(request: SimulatedRequest) =
            product.add(request, false, ideal, arrival, world.schedule.now())
    }

    private companion object {
        const val INSTANCES = 9
        const val CLOCK_SPREAD = 0.0005
        const val OUTAGE_BEGINS = 0.2
        const val KILL_AT = 0.4
        const val OUTAGE_ENDS = 0.8
        val slotInterval = 5.seconds
        val warmUp = 10.seconds
        val centralLease = 10.seconds
        val replacementDelay = 5.seconds
    }
}
