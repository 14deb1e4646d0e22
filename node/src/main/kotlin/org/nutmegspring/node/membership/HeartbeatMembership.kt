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

/** What is fixed about this instance. */
data class SelfDescription(
    val id: InstanceId,
    val incarnation: Incarnation,
    val dataCentre: DataCentreId,
    val callerAddress: String,
    val innerAddress: String,
)

/** What changes about this instance, read whenever it is told to others. */
interface SelfStatus {
    /** The share of its capacity in use. */
    fun load(): Double

    /** The revision that it applies. */
    fun revision(): Revision

    /** How long ago it read the head of the configuration from the store, or null when it never did. */
    fun storeEvidenceAge(): Duration?
}

/**
 * The intervals and sizes of heartbeats.
 *
 * @property listing how often the platform's list is read in a small fleet
 * @property listingPerMember what each member adds to that, so that reads of a large fleet stay bounded
 * @property fullMesh up to this many others, all are asked at each heartbeat
 * @property fanout how many are asked at each heartbeat in a larger fleet
 */
data class HeartbeatSettings(
    val interval: Duration = 1.seconds,
    val timeout: Duration = 2.seconds,
    val listing: Duration = 1.seconds,
    val listingPerMember: Duration = 10.milliseconds,
    val fullMesh: Int = 16,
    val fanout: Int = 2,
    val timing: MembershipTiming = MembershipTiming(),
)

/**
 * Keeps a [MembershipTable] up to date by heartbeats and the platform's list.
 *
 * One lock guards the table and the departing endpoints. Nothing is called and no other lock is taken under it.
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
    private val beat = AtomicLong()

    /** The phase that is told to others. */
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

    override fun listed(): Set<InstanceId> = synchronized(lock) { table.listed } + description.id

    override val selfListed: Boolean get() = synchronized(lock) { description.id in table.listed }

    override fun departingEndpoints(): Set<EndpointId> = synchronized(lock) { departing.all() }

    override fun reportDeparting(endpoint: EndpointId): Unit =
        synchronized(lock) { departing.add(listOf(endpoint), clock.now()) }

    override fun innerAddress(instance: InstanceId): String? = synchronized(lock) { table.innerAddress(instance) }

    /** Changes to [next] unless this instance drains, which it does until it ends. */
    @Synchronized
    fun follow(next: InstancePhase) {
        if (phase != InstancePhase.DRAINING) phase = next
    }

    /** Changes to draining for good. */
    @Synchronized
    fun drain() {
        phase = InstancePhase.DRAINING
    }

    /** Sets the addresses at which this instance listens. */
    fun listensAt(callerAddress: String, innerAddress: String) {
        description = description.copy(callerAddress = callerAddress, innerAddress = innerAddress)
    }

    /** Starts heartbeats over [network] and reading of the list in [scope]. */
    fun start(network: InnerNetwork, scope: CoroutineScope) {
        network.addHandler(this)
        scope.launch { keepListing() }
        scope.launch { keepBeating(network, this) }
    }

    /** Tells all others of this instance at once, and waits until each has answered or timed out. */
    suspend fun announce(network: InnerNetwork) {
        val others = synchronized(lock) { table.heartbeatTargets(clock.now()) }
        coroutineScope {
            others.forEach { launch { beatWith(it, network) } }
        }
    }

    override suspend fun handle(from: InstanceId, request: InnerRequest): InnerReply? {
        if (request !is HeartbeatRequest) return null
        val now = clock.now()
        val own = ownReport()
        return synchronized(lock) {
            departing.add(request.departing, now)
            table.mergeUnsolicited(reportOf(request.sender), now)
            val reports = listOf(own) + table.digest(now).filter { it.state.id != from }
            HeartbeatReply(reports.map(::digestOf), departing.toPropagate(now))
        }
    }

    private suspend fun keepListing() {
        while (true) {
            refreshList()
            val known = synchronized(lock) { table.listed.size }
            val interval = settings.listing + settings.listingPerMember * known
            delay(interval * random.nextDouble(LEAST_JITTER, MOST_JITTER))
        }
    }

    private suspend fun refreshList() {
        lists.instances().fold(
            { logger.debug { "the list of instances could not be read: $it" } },
            { instances -> synchronized(lock) { table.updateListing(instances, clock.now()) } },
        )
    }

    private suspend fun keepBeating(network: InnerNetwork, scope: CoroutineScope) {
        while (scope.isActive) {
            val contacts = synchronized(lock) { table.heartbeatTargets(clock.now()) }
            val chosen = if (contacts.size <= settings.fullMesh) contacts else contacts.shuffled(random)
            val count = if (contacts.size <= settings.fullMesh) contacts.size else settings.fanout
            chosen.take(count).forEach { peer -> scope.launch { beatWith(peer, network) } }
            delay(settings.interval * random.nextDouble(LEAST_JITTER, MOST_JITTER))
        }
    }

    private suspend fun beatWith(peer: InstanceId, network: InnerNetwork) {
        val begunAt = clock.now()
        val spread = synchronized(lock) { departing.toPropagate(begunAt) }
        val request = HeartbeatRequest(digestOf(ownReport()), spread)
        network.exchange(peer, request, settings.timeout).onRight { reply ->
            if (reply is HeartbeatReply) take(reply, begunAt)
        }
    }

    private fun take(reply: HeartbeatReply, begunAt: MonotonicTime) = synchronized(lock) {
        departing.add(reply.departing, clock.now())
        table.mergeReplies(reply.members.map(::reportOf), begunAt)
    }

    private fun ownReport() = MemberReport(self, beat.incrementAndGet())

    private companion object {
        const val LEAST_JITTER = 0.8
        const val MOST_JITTER = 1.2
    }
}
