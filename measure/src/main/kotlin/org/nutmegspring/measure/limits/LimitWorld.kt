package org.nutmegspring.measure.limits

import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.limits.Grant
import org.nutmegspring.limits.GrantRequest
import org.nutmegspring.limits.LimitSettings
import org.nutmegspring.limits.LimitShard
import org.nutmegspring.limits.OrganisationReturn
import org.nutmegspring.limits.TokenBucketFactory
import org.nutmegspring.limits.tokenBucket
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What varies between simulated fleets.
 *
 * @property clockSpread the greatest difference of a process's clock rate from real time, as a fraction
 * @property buckets creates the buckets of all ledgers
 * @property lifetimeFrom from when a grant's lifetime is counted, given when it was asked for and when it came
 */
internal data class WorldOptions(
    val settings: LimitSettings,
    val instances: Int,
    val clockSpread: Double,
    val slotInterval: Duration = 1.seconds,
    val buckets: TokenBucketFactory = ::tokenBucket,
    val lifetimeFrom: (askedAt: MonotonicTime, receivedAt: MonotonicTime) -> MonotonicTime = { askedAt, _ -> askedAt },
)

/** A fleet of simulated processes with a store, a list of instances and a network, on virtual time. */
internal class LimitWorld(
    val options: WorldOptions,
    private val random: Random,
    limits: Map<OrganisationId, TokenRate>,
) {
    /** Real time. */
    val schedule = VirtualSchedule()

    /** The platform's store. */
    val store = SimulatedStore(schedule, Random(random.nextLong()))

    /** The platform's list of instances. */
    val listing = SimulatedListing(schedule, Random(random.nextLong()))

    /** The network between the processes. */
    val network = SimulatedNetwork(schedule, Random(random.nextLong()))

    /** The limits that were accepted last. */
    var limits: Map<OrganisationId, TokenRate> = limits
        private set

    private var started = 0

    /** The present process of each place in the fleet. */
    val processes: MutableList<SimulatedProcess> = MutableList(options.instances) { create(it, nextInstance()) }

    init {
        processes.forEach { begin(it) }
    }

    /** Starts a process at [index], under a new id or under that of the process that ended there. */
    fun restart(index: Int, sameId: Boolean) {
        val ended = processes[index]
        val process = create(index, if (sameId) ended.instance else nextInstance())
        processes[index] = process
        begin(process)
    }

    /** Accepts [changed] limits. Each process applies them after some time, and the last one calls [inForce]. */
    fun change(changed: Map<OrganisationId, TokenRate>, inForce: () -> Unit) {
        limits = changed
        processes.forEach { process ->
            process.after(random.nextDouble(MOST_SECONDS_TO_APPLY).seconds) { process.apply(limits) }
        }
        awaitApplied(inForce)
    }

    private fun awaitApplied(inForce: () -> Unit) {
        schedule.after(applyCheckInterval) {
            if (processes.all { !it.alive || it.applied == limits }) inForce() else awaitApplied(inForce)
        }
    }

    /** Carries an ask to its holder and the answer back. */
    fun ask(from: SimulatedProcess, organisation: OrganisationId, ask: GrantRequest, answer: (Grant) -> Unit) {
        val holder = processes.find { it.instance == ask.holder } ?: return
        network.send(from.index, holder.index) {
            holder.run {
                val grant = holder.grant(from, organisation, ask)
                network.send(holder.index, from.index) { from.run { answer(grant) } }
            }
        }
    }

    /** Carries reports to a holder. */
    fun report(from: SimulatedProcess, holder: InstanceId, returns: List<OrganisationReturn>) {
        val process = processes.find { it.instance == holder } ?: return
        network.send(from.index, process.index) {
            process.run { returns.forEach { process.takeBack(from, it) } }
        }
    }

    private fun create(index: Int, instance: InstanceId): SimulatedProcess {
        val rate = 1 + random.nextDouble(-1.0, 1.0) * options.clockSpread
        val clock = SkewedClock(this, rate, random.nextDouble(MOST_SECONDS_OF_ORIGIN).seconds)
        return SimulatedProcess(this, index, instance, Incarnation(random.nextLong()), clock)
    }

    private fun nextInstance() = InstanceId("i${started++}")

    private fun begin(process: SimulatedProcess) {
        listing.add(process.instance)
        process.apply(limits)
        process.keepReporting()
        learnSlots(process)
        SlotPass(this, process).start()
    }

    /** Asks another process who holds the slots, until the store has been read. */
    private fun learnSlots(process: SimulatedProcess) {
        val peer = processes.filter { it !== process && it.alive }.randomOrNull(random) ?: return
        network.send(process.index, peer.index) {
            peer.run {
                val records = List(SHARDS) { peer.table.slots(LimitShard(it)) }
                network.send(peer.index, process.index) {
                    process.run { records.forEachIndexed { index, record -> process.learn(LimitShard(index), record) } }
                }
            }
        }
    }

    companion object {
        /** How many shards the organisations are divided into. */
        const val SHARDS = 2

        /** How long a process waits for the answer to an ask. */
        val askTimeout = 50.milliseconds

        /** How often a process sends its reports. */
        val reportInterval = 100.milliseconds

        private val applyCheckInterval = 100.milliseconds
        private const val MOST_SECONDS_TO_APPLY = 2.0
        private const val MOST_SECONDS_OF_ORIGIN = 1000.0
    }
}
