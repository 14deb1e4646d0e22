package org.nutmegspring.measure.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.invariant.Violation
import org.nutmegspring.measure.fault.ScenarioOutcome
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One randomised run: requests in bursts and lulls, faults, and changes of the limits. */
internal class LimitRun(seed: Long, options: WorldOptions, private val admission: Admission) : RequestListener {
    private val random = Random(seed)
    private val profiles = DemandProfile.entries.associateBy { OrganisationId(it.name.lowercase()) }
    private val limits = profiles.mapValues { it.value.limit(random) }
    private val world = LimitWorld(options, Random(random.nextLong()), limits)
    private val faults = LimitFaults(world, Random(random.nextLong()))
    private val watches = limits.mapValues { CeilingWatch(it.value, world.schedule.now()) }
    private val busy = limits.keys.associateWithTo(HashMap()) { true }
    private val unused = HashSet<OrganisationId>()
    private var violation: Violation? = null
    private val monitor = InvariantMonitor(seed) { violation = violation ?: it }
    private var digest = 1L

    /** Runs about [steps] steps. */
    fun run(steps: Int): ScenarioOutcome {
        faults.start()
        world.schedule.after(demandDelay) { limits.keys.forEach { begin(it) } }
        changeLimits()
        while (world.schedule.executed < steps && violation == null) world.schedule.step()
        return ScenarioOutcome(world.schedule.executed, faults.counts, digest, violation)
    }

    override fun dispatched(request: SimulatedRequest) {
        val now = world.schedule.now()
        note("${request.organisation} uses ${request.used} of ${request.tokens} at ${now.nanoseconds}")
        val holds = watches.getValue(request.organisation).received(request.used, now)
        monitor.check(Invariant.RATE_CEILING, holds) {
            "${request.organisation} with the limit ${world.limits[request.organisation]} at ${now.nanoseconds} ns"
        }
        checkAvailable(request.organisation)
    }

    /** Checks that the ceiling would hold if every process spent now what it has. */
    private fun checkAvailable(organisation: OrganisationId) {
        val available = world.processes.filter { it.alive }.sumOf {
            it.table.existingLedger(organisation)?.available(it.now()) ?: 0
        }
        val now = world.schedule.now()
        monitor.check(Invariant.RATE_CEILING, watches.getValue(organisation).admits(available, now)) {
            "$organisation with the limit ${world.limits[organisation]} has $available tokens at ${now.nanoseconds} ns"
        }
    }

    override fun refused(request: SimulatedRequest) = note("${request.organisation} is refused ${request.tokens}")

    private fun note(event: String) {
        digest = digest * DIGEST_FACTOR + event.hashCode()
        monitor.record { event }
    }

    private fun begin(organisation: OrganisationId) {
        arrive(organisation)
        alternate(organisation)
    }

    private fun arrive(organisation: OrganisationId) {
        val profile = profiles.getValue(organisation)
        val pace = if (busy.getValue(organisation)) profile.mostSecondsWhenBusy else profile.mostSecondsWhenQuiet
        world.schedule.after(upTo(pace)) {
            val process = world.processes.random(random)
            val request = profile.request(organisation, organisation in unused, random)
            if (!process.stopping) process.run { admission.arrive(process, request, this) }
            arrive(organisation)
        }
    }

    private fun alternate(organisation: OrganisationId) {
        val profile = profiles.getValue(organisation)
        val phase = if (busy.getValue(organisation)) profile.mostSecondsBusy else profile.mostSecondsQuiet
        world.schedule.after(upTo(phase)) {
            busy.computeIfPresent(organisation) { _, was -> !was }
            if (random.nextDouble() < profile.unusedShare) unused += organisation else unused -= organisation
            alternate(organisation)
        }
    }

    private fun changeLimits() {
        world.schedule.after(upTo(MOST_SECONDS_BETWEEN_CHANGES)) {
            val organisation = limits.keys.random(random)
            val changed = profiles.getValue(organisation).limit(random)
            watches.getValue(organisation).accepted(changed, world.schedule.now())
            world.change(world.limits + (organisation to changed)) {
                world.schedule.after(world.options.settings.holdingTime * 2) {
                    watches.getValue(organisation).inForce(world.schedule.now())
                    changeLimits()
                }
            }
        }
    }

    private fun upTo(seconds: Double): Duration = random.nextDouble(seconds).seconds

    private companion object {
        val demandDelay = 3.seconds
        const val MOST_SECONDS_BETWEEN_CHANGES = 80.0
        const val DIGEST_FACTOR = 31L
    }
}
