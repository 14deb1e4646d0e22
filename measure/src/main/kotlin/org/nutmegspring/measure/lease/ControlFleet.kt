package org.nutmegspring.measure.lease

import org.nutmegspring.endpoint.FencingSupport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.measure.virtual.CallFaults
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The instances and endpoints of one randomised run. */
internal class ControlFleet(
    val world: ControlWorld,
    private val rules: ControlRules,
) {
    val pools = VirtualPools(world)
    val engineFaults = CallFaults(world.random, greatestLateness = ControlRules.REQUEST_LIMIT * 2)
    val engines: List<VirtualEngine> = DATA_CENTRES.flatMap { dataCentre ->
        List(ENGINES) { number ->
            val fencing = FencingSupport.entries[number % FencingSupport.entries.size]
            VirtualEngine("$dataCentre-$number", dataCentre, fencing, ControlRules.REQUEST_LIMIT, world)
        }
    }
    private val instances = LinkedHashMap<InstanceId, ControlInstance>()
    private val faults = HashMap<InstanceId, CallFaults>()
    private val cutOff = HashSet<InstanceId>()
    private val stopping = HashSet<InstanceId>()
    private val listed = LinkedHashSet<InstanceId>()
    private var started = 0

    /** The instances that run. */
    fun running(): List<ControlInstance> = instances.values.filter { it.process.alive }

    /** The instances in the platform's list, which lags. */
    fun listed(): List<ControlInstance> = listed.map(instances::getValue)

    /** The ids of the instances that [self] believes to take duties. */
    fun believedToRun(self: InstanceId): Set<InstanceId> = (listed + self) - stopping

    /** Whether [id] has been asked to stop. */
    fun isStopping(id: InstanceId): Boolean = id in stopping

    /** The faults of the calls of [id] to the platform. */
    fun storeFaults(id: InstanceId): CallFaults = faults.getOrPut(id) { CallFaults(world.random) }

    /** How many replies of the platform and of engines were lost. */
    fun lostReplies(): Long = faults.values.sumOf { it.lostReplies } + engineFaults.lostReplies

    /** Returns how long a message from [from] to [to] takes, or null when it is lost. */
    fun peerDelay(from: InstanceId, to: InstanceId): Duration? =
        if (from in cutOff || to in cutOff) null else world.milliseconds(1, PEER_MILLISECONDS)

    /** Starts a new instance. The platform lists it soon, and the instance sends requests after that. */
    fun start() {
        val instance = ControlInstance(InstanceId("i${started++}"), this, rules)
        instances[instance.id] = instance
        world.schedule.after(LIST_LAG) { listed.add(instance.id) }
        instance.start()
    }

    /** Ends [instance] at once. The list shows it for a while. */
    fun kill(instance: ControlInstance) {
        instance.process.kill()
        world.schedule.after(LIST_LAG) { listed.remove(instance.id) }
    }

    /** Has [instance] hand its duties back, and ends it after [span]. */
    fun stop(instance: ControlInstance, span: Duration) {
        stopping.add(instance.id)
        world.schedule.after(span) { kill(instance) }
    }

    /** Cuts [instance] off from the platform and from the other instances, or joins it again. */
    fun cutOff(instance: ControlInstance, isCut: Boolean) {
        if (isCut) cutOff.add(instance.id) else cutOff.remove(instance.id)
        storeFaults(instance.id).unreachable = isCut
    }

    companion object {
        val DATA_CENTRES = listOf(DataCentreId("rennes"), DataCentreId("brest"))
        const val ENGINES = 4
        val LIST_LAG = 3.seconds
        private const val PEER_MILLISECONDS = 20L
    }
}
