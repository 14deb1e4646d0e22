package org.nutmegspring.node.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.membership.DepartingEndpoints
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.membership.MemberReport
import org.nutmegspring.membership.MemberState
import org.nutmegspring.membership.MembershipTable
import org.nutmegspring.membership.MembershipTiming
import org.nutmegspring.platform.PlatformLists
import org.nutmegspring.protocol.HeartbeatReply
import org.nutmegspring.protocol.HeartbeatRequest
import org.nutmegspring.protocol.InnerAddresses
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** The properties of this instance that stay fixed once it has started. */
data class SelfDescription(
    val id: InstanceId,
    val incarnation: Incarnation,
    val dataCentre: DataCentreId,
    val callerAddress: String,
    val innerAddress: String,
)

/** The properties of this instance that change while it runs. They are read for each report to other instances. */
interface SelfStatus {
    /** Returns the utilization of its capacity; 1 is full. */
    fun load(): Double

    /** Returns the configuration revision that it applies. */
    fun revision(): Revision

    /** Returns the time since it last read the head of the configuration from the store, or null if it never has. */
    fun storeEvidenceAge(): Duration?
}

/**
 * The intervals and limits of heartbeats and of reading the platform's list.
 *
 * @property interval the average time between two rounds of heartbeats
 * @property timeout the time after which a heartbeat without a reply fails
 * @property listInterval the part of the average time between two reads of the list that does not depend on its size
 * @property listIntervalPerMember the addition to [listInterval] per listed instance, so that the total rate of reads
 * by a large fleet stays bounded
 * @property fullMeshLimit the maximum number of other instances at which each round sends heartbeats to all of them
 * @property fanout the number of randomly selected instances that receive a heartbeat in each round of a larger fleet
 */
data class HeartbeatSettings(
    val interval: Duration = 1.seconds,
    val timeout: Duration = 2.seconds,
    val listInterval: Duration = 1.seconds,
    val listIntervalPerMember: Duration = 10.milliseconds,
    val fullMeshLimit: Int = 16,
    val fanout: Int = 2,
    val timing: MembershipTiming = MembershipTiming(),
)

/**
 * Maintains a [MembershipTable] from heartbeats and the platform's list.
 *
 * One lock guards the table and the departing endpoints. While it is held, no other lock is acquired and no other
 * component is called.
 */
class HeartbeatMembership(
    @Volatile private var description: SelfDescription,
    private val status: SelfStatus,
    private val lists: PlatformLists,
    private val clock: MonotonicClock,
    private val settings: HeartbeatSettings = HeartbeatSettings(),
    private val random: Random = Random.Default,
) : Membership,
    InnerHandler,
    InnerAddresses {
    private val lock = Any()
    private val table = MembershipTable(description.id, settings.timing)
    private val departing = DepartingEndpoints()
    private val sequence = AtomicLong()

    /** The phase that this instance reports to others. */
    @Volatile
    var phase: InstancePhase = InstancePhase.JOINING

    override val self: MemberState
        get() = MemberState(
            id = description.id,
            incarnation = description.incarnation,
            dataCentre = description.dataCentre,
            callerAddress = description.callerAddress,
            innerAddress = description.innerAddress,
            phase = phase,
            load = status.load(),
            revision = status.revision(),
            evidenceAge = Duration.ZERO,
            storeEvidenceAge = status.storeEvidenceAge(),
        )

    override fun peers(): List<MemberState> = synchronized(lock) { table.peers(clock.now()) }

    override fun listedInstances(): Set<InstanceId> = synchronized(lock) { table.listed } + description.id

    override val isSelfListed: Boolean get() = synchronized(lock) { description.id in table.listed }

    override fun departingEndpoints(): Set<EndpointId> = synchronized(lock) { departing.all() }

    override fun reportDeparting(endpoint: EndpointId): Unit =
        synchronized(lock) { departing.add(listOf(endpoint), clock.now()) }

    override fun innerAddress(instance: InstanceId): String? = synchronized(lock) { table.innerAddress(instance) }

    /** Changes the phase to [next] unless this instance is draining, which is final. */
    @Synchronized
    fun updatePhase(next: InstancePhase) {
        if (phase != InstancePhase.DRAINING) phase = next
    }

    /** Changes the phase to draining, which is final. */
    @Synchronized
    fun startDraining() {
        phase = InstancePhase.DRAINING
    }

    /** Sets the addresses at which this instance listens. */
    fun setAddresses(callerAddress: String, innerAddress: String) {
        description = description.copy(callerAddress = callerAddress, innerAddress = innerAddress)
    }

    /** Starts to send heartbeats over [network] and to read the list periodically, in [scope]. */
    fun start(network: InnerNetwork, scope: CoroutineScope) {
        network.addHandler(this)
        scope.launch { refreshListPeriodically() }
        scope.launch { sendHeartbeatsPeriodically(network, this) }
    }

    /** Sends a heartbeat to all other instances at once, and waits until each has replied or timed out. */
    suspend fun announce(network: InnerNetwork) {
        val targets = synchronized(lock) { table.heartbeatTargets(clock.now()) }
        coroutineScope {
            targets.forEach { launch { exchangeHeartbeat(it, network) } }
        }
    }

    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? {
        if (request !is HeartbeatRequest) return null
        val now = clock.now()
        val own = createOwnReport()
        return synchronized(lock) {
            departing.add(request.departing, now)
            table.mergeUnsolicited(createReport(request.sender), now)
            val reports = listOf(own) + table.digest(now).filter { it.state.id != from }
            HeartbeatReply(reports.map(::createDigest), departing.toPropagate(now))
        }
    }

    private suspend fun refreshListPeriodically() {
        while (true) {
            refreshList()
            val listedCount = synchronized(lock) { table.listed.size }
            val interval = settings.listInterval + settings.listIntervalPerMember * listedCount
            delay(interval * random.nextDouble(MINIMUM_JITTER, MAXIMUM_JITTER))
        }
    }

    private suspend fun refreshList() {
        lists.instances().fold(
            { logger.debug { "failed to read the list of instances: $it" } },
            { instances -> synchronized(lock) { table.updateListing(instances, clock.now()) } },
        )
    }

    private suspend fun sendHeartbeatsPeriodically(network: InnerNetwork, scope: CoroutineScope) {
        while (scope.isActive) {
            val targets = synchronized(lock) { table.heartbeatTargets(clock.now()) }
            val chosen = if (targets.size <= settings.fullMeshLimit) targets else targets.shuffled(random)
            val count = if (targets.size <= settings.fullMeshLimit) targets.size else settings.fanout
            chosen.take(count).forEach { peer -> scope.launch { exchangeHeartbeat(peer, network) } }
            delay(settings.interval * random.nextDouble(MINIMUM_JITTER, MAXIMUM_JITTER))
        }
    }

    private suspend fun exchangeHeartbeat(peer: InstanceId, network: InnerNetwork) {
        val begunAt = clock.now()
        val propagated = synchronized(lock) { departing.toPropagate(begunAt) }
        val request = HeartbeatRequest(createDigest(createOwnReport()), propagated)
        network.exchange(peer, request, settings.timeout).onRight { reply ->
            if (reply is HeartbeatReply) mergeReply(reply, begunAt)
        }
    }

    private fun mergeReply(reply: HeartbeatReply, begunAt: MonotonicTime) = synchronized(lock) {
        departing.add(reply.departing, clock.now())
        table.mergeReplies(reply.members.map(::createReport), begunAt)
    }

    private fun createOwnReport() = MemberReport(self, sequence.incrementAndGet())

    private companion object {
        const val MINIMUM_JITTER = 0.8
        const val MAXIMUM_JITTER = 1.2
    }
}
