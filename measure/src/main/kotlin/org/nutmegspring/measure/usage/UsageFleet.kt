package org.nutmegspring.measure.usage

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.measure.virtual.CallFaults
import org.nutmegspring.measure.virtual.FaultWorld
import org.nutmegspring.measure.virtual.VirtualNetwork
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The instances of one randomised run in three data centres, and what connects them. */
internal class UsageFleet(
    val world: FaultWorld,
    private val rules: UsageRules,
    val pausesBeforeCalls: Boolean,
) {
    val truth = UsageTruth(world)
    val network = VirtualNetwork(world, ::reaches)

    /** Whether the instances still count usage. */
    var traffic = true

    /** Whether data centres reach each other. */
    var apart = false
    private val instances = LinkedHashMap<InstanceId, UsageInstance>()
    private val faults = HashMap<InstanceId, CallFaults>()
    private val cutOff = HashSet<InstanceId>()
    private val withoutDuties = HashSet<InstanceId>()
    private val known = LinkedHashSet<InstanceId>()
    private var started = 0

    /** All instances that ever ran. */
    fun all(): Collection<UsageInstance> = instances.values

    /** The instances that run. */
    fun running(): List<UsageInstance> = instances.values.filter { it.process.alive }

    /** The instances that are believed to run. One that was killed leaves after a while. */
    fun believedToRun(): List<UsageInstance> = known.map(instances::getValue)

    /** The ids of the instances that [self] believes to take duties. */
    fun candidates(self: InstanceId): Set<InstanceId> = known + self - withoutDuties

    /** Has [instance] take duties or hand them over. */
    fun takesDuties(instance: UsageInstance, takes: Boolean) {
        if (takes) withoutDuties.remove(instance.id) else withoutDuties.add(instance.id)
    }

    /** The faults of the calls of [id] to the platform. */
    fun storeFaults(id: InstanceId): CallFaults = faults.getOrPut(id) { CallFaults(world.random) }

    /** Whether messages from [from] arrive at [to] at the moment. */
    fun reaches(from: InstanceId, to: InstanceId): Boolean {
        if (from in cutOff || to in cutOff) return false
        return !apart || instances.getValue(from).dataCentre == instances.getValue(to).dataCentre
    }

    /** Starts a new instance. */
    fun start() {
        val dataCentre = DATA_CENTRES[started % DATA_CENTRES.size]
        val instance = UsageInstance(InstanceId("i${started++}"), dataCentre, this, rules)
        instances[instance.id] = instance
        known.add(instance.id)
        instance.start()
    }

    /** Ends [instance] at once. */
    fun kill(instance: UsageInstance) {
        instance.end()
        world.schedule.after(DETECTION) { known.remove(instance.id) }
    }

    /** Cuts [instance] off from the platform and from the other instances, or joins it again. */
    fun cutOff(instance: UsageInstance, isCut: Boolean) {
        if (isCut) cutOff.add(instance.id) else cutOff.remove(instance.id)
        storeFaults(instance.id).unreachable = isCut
    }

    /** Ends every fault and all traffic. */
    fun calm() {
        traffic = false
        apart = false
        network.disorder = 0.0
        cutOff.clear()
        running().forEach { instance ->
            storeFaults(instance.id).run {
                unreachable = false
                slow = false
                replyLoss = 0.0
                lateness = 0.0
            }
        }
    }

    companion object {
        val DATA_CENTRES = listOf(DataCentreId("rennes"), DataCentreId("brest"), DataCentreId("vannes"))
        const val SHARDS = 2
        val DETECTION: Duration = 3.seconds
    }
}
