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

/** Counts what organisations use. */
fun interface UsageCounter {
    /** Counts one execution for [organisation], or for no one on routes that are open to all. */
    fun count(organisation: OrganisationId?, promptTokens: Long, outputTokens: Long)
}

/**
 * The spans of usage windows.
 *
 * @property grace how long after its end a window is fixed
 * @property retention how many windows a batch may be late
 * @property shards into how many shards the organisations are split
 * @property requestLimit the time after which the platform closes an idle connection
 */
data class UsageOptions(
    val window: Duration = 60.seconds,
    val grace: Duration = 5.seconds,
    val retention: Long = 240,
    val shards: Int = 8,
    val requestLimit: Duration = 45.seconds,
) {
    /** The lease outlasts the platform's limit, or nothing could be reported. */
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

/** What the counting and reporting of usage needs of an instance. */
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

/** Counts the usage of this instance, hands it on, and fixes and reports the windows whose leases it holds. */
class UsageRuntime(private val parts: UsageParts) : UsageCounter, AutoCloseable {
    private val options = parts.options
    private val selector = SelectorManager(Dispatchers.IO)
    private val ledger = SharedUsageLedger(UsageLedger(parts.incarnation, options.shards), options.retention) {
        window(Duration.ZERO)
    }
    private val exchange = UsageExchange(ledger, parts.network, parts.membership)
    private val reports = HttpUsageReports(selector, parts.platformAddress, REPORT_TIMEOUT)
    private val duties = List(options.shards) { shard -> ShardDuty(shard) }

    @Volatile
    private var stopping = false

    override fun count(organisation: OrganisationId?, promptTokens: Long, outputTokens: Long) {
        if (organisation != null) ledger.count(UsageEntry(organisation, promptTokens, outputTokens, 1))
    }

    /** Starts the work in [scope]. */
    fun start(scope: CoroutineScope) {
        parts.network.addHandler(exchange)
        scope.launch { exchange.run() }
        duties.forEach { duty ->
            scope.launch { duty.keeper.run() }
            scope.launch { duty.windows.run() }
        }
    }

    /** Hands on what was counted, and the leases. Waits a few seconds at most. */
    suspend fun release() {
        stopping = true
        withTimeoutOrNull(RELEASE_TIMEOUT) {
            while (!exchange.handOn()) delay(RELEASE_POLL)
            while (duties.any { it.keeper.held() != null }) delay(RELEASE_POLL)
        }
    }

    override fun close() = selector.close()

    private fun window(shift: Duration): Long =
        Math.floorDiv(parts.epochMilliseconds() + shift.inWholeMilliseconds, options.window.inWholeMilliseconds)

    private inner class ShardDuty(shard: Int) {
        private val duty = Duty.UsageWindows(shard)
        val keeper: LeaseKeeper = LeaseKeeper(
            duty = duty,
            self = LeaseHolder(parts.membership.self.id, parts.incarnation),
            store = parts.store,
            clock = parts.clock,
            rules = LeaseRules(options.leaseTiming),
            wish = ::wish,
            mayRelease = { windows.isSettled() },
        )
        val windows: UsageWindows = UsageWindows(
            shard = shard,
            store = parts.store,
            clock = parts.clock,
            rules = WindowRules(options.retention),
            sendLimit = SendLimit(options.leaseTiming, options.requestLimit),
            gather = { previous -> exchange.gather(shard, previous) },
            connections = reports,
            lastClosed = { window(-options.grace) - 1 },
            held = { keeper.held().takeUnless { stopping } },
        )

        private fun wish(): LeaseRole {
            val ready = parts.membership.peers().filter { it.phase == InstancePhase.READY }.mapTo(HashSet()) { it.id }
            if (stopping) return LeaseRole.NONE
            return DutyPlacement.desiredRole(duty, parts.membership.self.id, ready + parts.membership.self.id)
        }
    }

    private companion object {
        val REPORT_TIMEOUT = 3.seconds
        val RELEASE_TIMEOUT = 5.seconds
        val RELEASE_POLL = 50.milliseconds
    }
}
