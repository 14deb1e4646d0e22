package org.nutmegspring.node.control

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.lease.Duty
import org.nutmegspring.lease.DutyPlacement
import org.nutmegspring.lease.LeaseHolder
import org.nutmegspring.lease.LeaseRole
import org.nutmegspring.lease.LeaseRules
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.lease.SendLimit
import org.nutmegspring.node.membership.InstancePhase
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.usage.UsageEntry
import org.nutmegspring.usage.UsageLedger
import org.nutmegspring.usage.WindowRules
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Counts the usage of organisations. */
fun interface UsageCounter {
    /** Counts one execution for [organisation], or nothing if it is null, as on routes that are open to all. */
    fun count(organisation: OrganisationId?, promptTokens: Long, outputTokens: Long)
}

/**
 * The settings of usage windows.
 *
 * @property window the duration of a window
 * @property gracePeriod the time between the end of a window and its fixing, during which batches still arrive
 * @property retentionWindows how many windows late a batch may be and still be included
 * @property shardCount the number of shards into which organisations are divided
 * @property requestLimit the time after which the platform closes an idle connection
 */
data class UsageOptions(
    val window: Duration = 60.seconds,
    val gracePeriod: Duration = 5.seconds,
    val retentionWindows: Long = 240,
    val shardCount: Int = 8,
    val requestLimit: Duration = 45.seconds,
) {
    /** The lease outlasts [requestLimit]: a report is sent only if its connection closes before the lease ends. */
    val leaseTiming: LeaseTiming =
        LeaseTiming(
            duration = requestLimit * 2,
            renewInterval = requestLimit / STEPS_PER_LIMIT,
            readInterval = requestLimit / STEPS_PER_LIMIT,
        )

    private companion object {
        const val STEPS_PER_LIMIT = 9
    }
}

/** The dependencies and options of a [UsageRuntime]. */
class UsageParts(
    val incarnation: Incarnation,
    val store: ObjectStore,
    val platformAddress: String,
    val network: InnerNetwork,
    val membership: Membership,
    val clock: MonotonicClock,
    val epochMilliseconds: () -> Long,
    val options: UsageOptions = UsageOptions(),
)

/**
 * Counts the usage of this instance, replicates it to other instances, and fixes and reports the windows of the shards
 * whose leases this instance holds.
 */
class UsageRuntime(private val parts: UsageParts) : UsageCounter, AutoCloseable {
    private val options = parts.options
    private val selector = SelectorManager(Dispatchers.IO)
    private val ledger = SharedUsageLedger(
        UsageLedger(parts.incarnation, options.shardCount),
        options.retentionWindows,
    ) {
        windowAt(Duration.ZERO)
    }
    private val exchange = UsageExchange(ledger, parts.network, parts.membership)
    private val reportConnections = HttpUsageReportConnections(selector, parts.platformAddress, REPORT_TIMEOUT)
    private val duties = List(options.shardCount) { shard -> ShardDuty(shard) }

    @Volatile
    private var isStopping = false

    override fun count(organisation: OrganisationId?, promptTokens: Long, outputTokens: Long) {
        if (organisation != null) ledger.count(UsageEntry(organisation, promptTokens, outputTokens, 1))
    }

    /** Starts replication and the duties of all shards, in [scope]. */
    fun start(scope: CoroutineScope) {
        parts.network.addHandler(exchange)
        scope.launch { exchange.run() }
        duties.forEach { duty ->
            scope.launch { duty.leaseManager.run() }
            scope.launch { duty.reporter.run() }
        }
    }

    /** Replicates the remaining usage and releases the leases. Waits 5 s at most. */
    suspend fun release() {
        isStopping = true
        withTimeoutOrNull(RELEASE_TIMEOUT) {
            while (!exchange.replicateBatches()) delay(RELEASE_POLL_INTERVAL)
            while (duties.any { it.leaseManager.heldLease() != null }) delay(RELEASE_POLL_INTERVAL)
        }
    }

    override fun close() = selector.close()

    private fun windowAt(offset: Duration): Long =
        Math.floorDiv(parts.epochMilliseconds() + offset.inWholeMilliseconds, options.window.inWholeMilliseconds)

    private inner class ShardDuty(shard: Int) {
        private val duty = Duty.UsageWindows(shard)
        val leaseManager: LeaseManager = LeaseManager(
            duty = duty,
            self = LeaseHolder(parts.membership.self.id, parts.incarnation),
            store = parts.store,
            clock = parts.clock,
            rules = LeaseRules(options.leaseTiming),
            desiredRole = ::desiredRole,
            canRelease = { reporter.isSettled() },
        )
        val reporter: UsageWindowReporter = UsageWindowReporter(
            shard = shard,
            store = parts.store,
            clock = parts.clock,
            rules = WindowRules(options.retentionWindows),
            sendLimit = SendLimit(options.leaseTiming, options.requestLimit),
            gatherBatches = { previous -> exchange.gatherBatches(shard, previous) },
            connections = reportConnections,
            lastClosedWindow = { windowAt(-options.gracePeriod) - 1 },
            heldLease = { leaseManager.heldLease().takeUnless { isStopping } },
        )

        private fun desiredRole(): LeaseRole {
            val ready = parts.membership.peers().filter { it.phase == InstancePhase.READY }.mapTo(HashSet()) { it.id }
            if (isStopping) return LeaseRole.NONE
            return DutyPlacement.desiredRole(duty, parts.membership.self.id, ready + parts.membership.self.id)
        }
    }

    private companion object {
        val REPORT_TIMEOUT = 3.seconds
        val RELEASE_TIMEOUT = 5.seconds
        val RELEASE_POLL_INTERVAL = 50.milliseconds
    }
}
