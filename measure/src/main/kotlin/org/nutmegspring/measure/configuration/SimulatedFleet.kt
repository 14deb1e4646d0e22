package org.nutmegspring.measure.configuration

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.measure.virtual.VirtualDispatcher
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.membership.MemberState
import org.nutmegspring.node.configuration.ConfigurationEnvironment
import org.nutmegspring.node.configuration.ConfigurationPolicy
import org.nutmegspring.node.configuration.ConfigurationRuntime
import org.nutmegspring.node.configuration.createConfigurationRuntime
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a simulated fleet consists of. [policy] is called for each process. */
internal class FleetSetup(
    val instances: Int,
    val dataCentres: Int,
    val listLag: Duration = 2.seconds,
    val clockDeviation: Double = 0.0,
    val policy: () -> ConfigurationPolicy = { ConfigurationPolicy() },
)

/** One process of a simulated instance. */
internal class SimulatedProcess(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    val dispatcher: VirtualDispatcher,
    val scope: CoroutineScope,
    val configuration: ConfigurationRuntime,
)

/** The instances of a simulated system, which run the configuration's production code. */
internal class SimulatedFleet(
    private val setup: FleetSetup,
    private val schedule: VirtualSchedule,
    private val random: Random,
    private val monitor: InvariantMonitor,
    val store: FaultyStore,
    val network: FaultyNetwork,
) {
    private val running = LinkedHashMap<InstanceId, SimulatedProcess>()
    private val dataCentres = LinkedHashMap<InstanceId, DataCentreId>()
    private var created = 0

    /** The list as the platform last showed it to all instances. */
    private var published: Set<InstanceId> = emptySet()

    /** Whether the platform's list is not brought up to date. */
    var listFrozen = false

    /** The processes that have not ended. */
    val processes: List<SimulatedProcess> get() = running.values.toList()

    /** The ids of the instances that are to run. */
    val ids: List<InstanceId> get() = dataCentres.keys.toList()

    /** Whether every instance sees the list as it is. */
    val listSettled: Boolean get() = published == dataCentres.keys

    /** Creates the instances and starts them. */
    fun start() {
        repeat(setup.instances) { add() }
        published = dataCentres.keys.toSet()
        dataCentres.keys.toList().forEach { startProcess(it) }
    }

    /** Ends the process of [id] and starts another after [downtime]. */
    fun restart(id: InstanceId, downtime: Duration) {
        stop(id)
        schedule.after(downtime) { if (id in dataCentres && id !in running) startProcess(id) }
    }

    /** Ends the instance [id] for good and starts a new one in its place. */
    fun replace(id: InstanceId) {
        stop(id)
        dataCentres.remove(id)
        startProcess(add())
        publishLater()
    }

    /** Brings the list up to date after its lag. */
    fun publishLater(): Unit = schedule.after(setup.listLag) {
        if (!listFrozen) published = dataCentres.keys.toSet()
    }

    /** The process of [id], or null while it does not run. */
    fun process(id: InstanceId): SimulatedProcess? = running[id]

    private fun add(): InstanceId {
        val id = InstanceId("i${created + 1}")
        dataCentres[id] = DataCentreId("d${created % setup.dataCentres}")
        created++
        return id
    }

    private fun stop(id: InstanceId) {
        running.remove(id)?.dispatcher?.stop()
    }

    private fun startProcess(id: InstanceId) {
        val dispatcher = VirtualDispatcher(schedule)
        val failures = CoroutineExceptionHandler { _, failure -> schedule.after(Duration.ZERO) { throw failure } }
        val scope = CoroutineScope(dispatcher + SupervisorJob() + failures)
        val environment = ConfigurationEnvironment(
            objects = store.clientOf(id),
            network = network.join(id, scope),
            membership = FleetMembership(id, Incarnation(random.nextLong())),
            clock = deviatingClock(),
            monitor = monitor,
        )
        val runtime = createConfigurationRuntime(environment, setup.policy())
        running[id] = SimulatedProcess(id, dataCentres.getValue(id), dispatcher, scope, runtime)
        runtime.start(scope)
    }

    private fun deviatingClock(): MonotonicClock {
        val rate = 1.0 + setup.clockDeviation * (random.nextDouble() * 2 - 1)
        val origin = random.nextLong(CLOCK_ORIGINS)
        return MonotonicClock { MonotonicTime((schedule.now().nanoseconds * rate).toLong() + origin) }
    }

    private inner class FleetMembership(private val id: InstanceId, private val incarnation: Incarnation) : Membership {
        override val self: MemberState get() = member(id, incarnation)

        override fun peers(): List<MemberState> =
            (published - id).sorted().map { member(it, Incarnation(0)) }

        override fun listedInstances(): Set<InstanceId> = published + id

        override val isSelfListed: Boolean get() = id in published
    }

    private fun member(id: InstanceId, incarnation: Incarnation) = MemberState(
        id = id,
        incarnation = incarnation,
        dataCentre = dataCentres[id] ?: DataCentreId("gone"),
        callerAddress = "",
        innerAddress = "",
        phase = InstancePhase.READY,
        load = 0.0,
        revision = Revision.NONE,
        evidenceAge = Duration.ZERO,
        storeEvidenceAge = null,
    )

    private companion object {
        const val CLOCK_ORIGINS = 1_000_000_000_000L
    }
}
