package org.nutmegspring.measure.configuration

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.measure.virtual.VirtualSchedule
import java.util.EnumMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Injects random faults into a fleet. */
internal class ConfigurationFaults(
    private val fleet: SimulatedFleet,
    private val workload: ConfigurationWorkload,
    private val schedule: VirtualSchedule,
    private val random: Random,
) {
    private val store get() = fleet.store
    private val network get() = fleet.network

    /** How often each fault was injected. */
    val counts: MutableMap<Fault, Long> = EnumMap(Fault::class.java)

    /** Injects a random fault. */
    fun inject() {
        val fault = KINDS.random(random)
        counts.merge(fault, 1, Long::plus)
        when (fault) {
            Fault.STORE_DOWN -> during(MAXIMUM_OUTAGE, { store.down = true }, { store.down = false })
            Fault.STORE_SLOW -> slowStore()
            Fault.REPLY_LOST -> during(MAXIMUM_CUT, { store.replyLoss = REPLY_LOSS }, { store.replyLoss = 0.0 })
            Fault.PAUSE -> randomId()?.let { fleet.process(it)?.dispatcher?.pause(duration(MAXIMUM_PAUSE)) }
            Fault.KILL -> kill()
            Fault.INSTANCE_CUT_OFF -> cutOff()
            Fault.DATA_CENTRES_APART -> partDataCentres()
            Fault.LIST_STALE -> during(MAXIMUM_CUT, { fleet.listFrozen = true }, ::thawList)
            Fault.OPERATORS_RACE -> workload.race()
            else -> disorderMessages()
        }
    }

    private fun slowStore() = during(
        MAXIMUM_CUT,
        { store.extraDelay = duration(MAXIMUM_STORE_DELAY) },
        { store.extraDelay = Duration.ZERO },
    )

    private fun disorderMessages() = during(
        MAXIMUM_CUT,
        {
            network.extraDelay = duration(MAXIMUM_MESSAGE_DELAY)
            network.repeats = REPEATS
        },
        {
            network.extraDelay = Duration.ZERO
            network.repeats = 0.0
        },
    )

    private fun kill() {
        val id = randomId() ?: return
        val replaceable = fleet.listSettled && !fleet.listFrozen
        if (replaceable && random.nextBoolean()) fleet.replace(id) else fleet.restart(id, duration(MAXIMUM_PAUSE))
    }

    private fun cutOff() {
        val id = randomId() ?: return
        if (random.nextDouble() < OUTAGE_AFTER_CUT) return changeThenOutage(id)
        val fromStore = random.nextDouble() < CUT_EACH
        val pairs = if (random.nextDouble() < CUT_EACH) (fleet.ids - id).map { setOf(id, it) } else emptyList()
        cut(pairs, if (fromStore) setOf(id) else emptySet())
    }

    /** Cuts [id] off from its peers, lets an operator change something there and then takes the store away. */
    private fun changeThenOutage(id: InstanceId) {
        cut((fleet.ids - id).map { setOf(id, it) }, emptySet())
        schedule.after(duration(1.seconds)) {
            workload.changeAt(id)
            schedule.after(duration(1.seconds)) {
                during(MAXIMUM_OUTAGE, { store.down = true }, { store.down = false })
            }
        }
    }

    private fun partDataCentres() {
        val (one, other) = fleet.processes.partition { it.dataCentre == fleet.processes.first().dataCentre }
        val pairs = one.flatMap { first -> other.map { setOf(first.id, it.id) } }
        val withoutStore = if (random.nextBoolean()) one.map { it.id }.toSet() else emptySet()
        cut(pairs, withoutStore)
    }

    private fun cut(pairs: List<Set<InstanceId>>, withoutStore: Set<InstanceId>) = during(
        MAXIMUM_CUT,
        {
            network.cuts += pairs
            store.unreachableFrom += withoutStore
        },
        {
            network.cuts -= pairs.toSet()
            store.unreachableFrom -= withoutStore
        },
    )

    private fun thawList() {
        fleet.listFrozen = false
        fleet.publishLater()
    }

    private fun during(longest: Duration, begin: () -> Unit, end: () -> Unit) {
        begin()
        schedule.after(duration(longest), end)
    }

    private fun duration(longest: Duration): Duration = 100.milliseconds + longest * random.nextDouble()

    private fun randomId(): InstanceId? = fleet.ids.randomOrNull(random)

    private companion object {
        val KINDS = listOf(
            Fault.STORE_DOWN,
            Fault.STORE_SLOW,
            Fault.REPLY_LOST,
            Fault.PAUSE,
            Fault.KILL,
            Fault.INSTANCE_CUT_OFF,
            Fault.DATA_CENTRES_APART,
            Fault.LIST_STALE,
            Fault.OPERATORS_RACE,
            Fault.MESSAGE_DISORDER,
        )
        val MAXIMUM_OUTAGE = 40.seconds
        val MAXIMUM_CUT = 20.seconds
        val MAXIMUM_PAUSE = 10.seconds
        val MAXIMUM_STORE_DELAY = 1500.milliseconds
        val MAXIMUM_MESSAGE_DELAY = 1200.milliseconds
        const val REPLY_LOSS = 0.4
        const val REPEATS = 0.2
        const val CUT_EACH = 0.7
        const val OUTAGE_AFTER_CUT = 0.3
    }
}
