package org.nutmegspring.measure.usage

import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.Revision
import org.nutmegspring.lease.Duty
import org.nutmegspring.lease.DutyPlacement
import org.nutmegspring.lease.LeaseHolder
import org.nutmegspring.lease.LeaseRules
import org.nutmegspring.measure.fault.Fault
import org.nutmegspring.measure.virtual.VirtualProcess
import org.nutmegspring.measure.virtual.VirtualStore
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.membership.MemberState
import org.nutmegspring.node.control.LeaseManager
import org.nutmegspring.node.control.SharedUsageLedger
import org.nutmegspring.node.control.UsageExchange
import org.nutmegspring.node.control.UsageReportConnections
import org.nutmegspring.node.control.UsageWindowReporter
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.platform.UsageReport
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.usage.FixedWindow
import org.nutmegspring.usage.UsageBatch
import org.nutmegspring.usage.UsageEntry
import org.nutmegspring.usage.UsageLedger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An instance that counts usage, keeps that of others, and fixes and reports windows. */
internal class UsageInstance(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    private val fleet: UsageFleet,
    private val rules: UsageRules,
) {
    private val world = fleet.world
    private val clockRate = 1.0 + (world.random.nextDouble() - HALF) * CLOCK_RATE_SPREAD
    private var wallClockSkew = world.milliseconds(0, MOST_SKEW_MILLISECONDS)
    val process = VirtualProcess(id.value, world.schedule, clockRate)
    val incarnation = Incarnation(world.random.nextLong())
    private val ledger = UsageLedger(incarnation, UsageFleet.SHARDS)
    private val shared = SharedUsageLedger(ledger, UsageRules.RETENTION) { window(Duration.ZERO) }
    private val store = VirtualStore(world.schedule, process, world.objects, fleet.storeFaults(id)) {
        pausePoint(PAUSE_PROBABILITY)
    }
    private val network = fleet.network.join(id, process)
    private val exchange = UsageExchange(shared, network, Peers())
    private val keepers = HashMap<Int, LeaseManager>()

    private val unsealed = ArrayList<CountedTokens>()
    private val sealed = HashMap<UsageBatch, List<CountedTokens>>()

    /** When the instance was killed, or null. */
    var endedAt: MonotonicTime? = null
        private set

    /** Returns what this killed instance took with it when no window took in the [missing] batches. */
    fun loss(missing: List<UsageBatch>): UsageLoss {
        val lost = missing.flatMap { sealed[it].orEmpty() } + unsealed
        val age = lost.minOfOrNull { it.at }?.let { (endedAt ?: world.schedule.now()) - it } ?: Duration.ZERO
        return UsageLoss(lost.sumOf { it.tokens }, age)
    }

    /** Starts the coroutines of the instance. */
    fun start() {
        network.addHandler(exchange)
        process.scope.launch { countUsage() }
        process.scope.launch { handOn() }
        repeat(UsageFleet.SHARDS) { shard -> startWindows(shard) }
    }

    /** Ends the instance at once. */
    fun end() {
        endedAt = world.schedule.now()
        process.kill()
    }

    /** Sets the wall clock forward or back. */
    fun stepWallClock(step: Duration) {
        wallClockSkew += step
    }

    /** Records the batches that were sealed. It is called whenever one may have been, before it can be dropped. */
    private fun record() {
        val batches = List(UsageFleet.SHARDS) { ledger.ownBatches(it, Long.MAX_VALUE) }.flatten()
        val new = batches.filter { it !in sealed }
        for (batch in new) {
            val counted = unsealed.filter { it.shard == batch.shard }
            sealed[batch] = counted
            unsealed.removeAll(counted)
        }
        fleet.truth.record(new)
    }

    private suspend fun countUsage() {
        while (true) {
            delay(world.milliseconds(1, MOST_REST_MILLISECONDS))
            if (!fleet.traffic) continue
            val organisation = OrganisationId("o${world.random.nextInt(ORGANISATIONS)}")
            val entry = UsageEntry(organisation, world.random.nextLong(1, TOKENS), world.random.nextLong(TOKENS), 1)
            shared.count(entry)
            record()
            unsealed.add(CountedTokens(world.schedule.now(), entry, ledger.shardOf(organisation)))
        }
    }

    private suspend fun handOn() {
        while (true) {
            delay(1.seconds)
            shared.seal()
            record()
            exchange.replicateBatches()
        }
    }

    private fun startWindows(shard: Int) {
        val duty = Duty.UsageWindows(shard)
        val wish = { DutyPlacement.desiredRole(duty, id, fleet.candidates(id)) }
        val holder = LeaseHolder(id, incarnation)
        val rulesOfLease = LeaseRules(UsageRules.TIMING, UsageRules.TIMING.readInterval)
        lateinit var windows: UsageWindowReporter
        val keeper = LeaseManager(duty, holder, store, process.clock, rulesOfLease, wish) {
            windows.isSettled() || !rules.releasesWhenSettled
        }
        keepers[shard] = keeper
        windows = UsageWindowReporter(
            shard = shard,
            store = store,
            clock = process.clock,
            rules = rules.window,
            sendLimit = rules.sendLimit,
            gatherBatches = { previous -> exchange.gatherBatches(shard, previous) },
            connections = UsageReportConnections { connection(shard).right() },
            lastClosedWindow = { window(-UsageRules.GRACE) - 1 },
            heldLease = keeper::heldLease,
        )
        process.scope.launch { keeper.run() }
        process.scope.launch { windows.run() }
    }

    private fun connection(shard: Int): VirtualUsageConnection {
        val pause = { pausePoint(PAUSE_BEFORE_REPORT_PROBABILITY) }
        return VirtualUsageConnection(process, world, fleet.storeFaults(id), pause) { report ->
            val authorised = keepers.getValue(shard).heldLease()?.fencing == report.fencing
            fleet.truth.accept(if (rules.recomputesAtReport) recomputed(report) else report, authorised)
        }
    }

    private fun recomputed(report: UsageReport): UsageReport {
        val previous = fleet.truth.fixed(report.shard, report.window - 1)
            ?: FixedWindow(report.shard, report.window - 1, emptyList(), emptyList())
        val batches = ledger.ownBatches(report.shard, report.window)
        return rules.window.nextWindow(previous, batches).toReport(report.fencing)
    }

    private fun window(shift: Duration): Long {
        val wallClock = EPOCH + (world.schedule.now() - MonotonicTime.ZERO) + wallClockSkew + shift
        return (wallClock / UsageRules.WINDOW).toLong()
    }

    private fun pausePoint(probability: Double) {
        if (!fleet.pausesBeforeCalls || world.random.nextDouble() >= probability) return
        world.inject(Fault.PAUSE, "$id before a call")
        process.pause(world.milliseconds(1, MOST_PAUSE_MILLISECONDS))
    }

    private inner class Peers : Membership {
        override val self: MemberState get() = this@UsageInstance.toMemberState()

        override val isSelfListed: Boolean = true

        override fun peers(): List<MemberState> =
            fleet.believedToRun().filter { it.id != id && fleet.reaches(id, it.id) }.map { it.toMemberState() }

        override fun listedInstances(): Set<InstanceId> = fleet.believedToRun().mapTo(LinkedHashSet()) { it.id }
    }

    private fun toMemberState(): MemberState = MemberState(
        id = id,
        incarnation = incarnation,
        dataCentre = dataCentre,
        callerAddress = "",
        innerAddress = "",
        phase = InstancePhase.READY,
        load = 0.0,
        revision = Revision.NONE,
        evidenceAge = Duration.ZERO,
        storeEvidenceAge = null,
    )

    private companion object {
        const val HALF = 0.5
        const val CLOCK_RATE_SPREAD = 0.08
        const val MOST_SKEW_MILLISECONDS = 3_000L
        const val MOST_REST_MILLISECONDS = 400L
        const val MOST_PAUSE_MILLISECONDS = 5_000L
        const val ORGANISATIONS = 5
        const val TOKENS = 4_000L
        const val PAUSE_PROBABILITY = 0.002
        const val PAUSE_BEFORE_REPORT_PROBABILITY = 0.3
        val EPOCH = 1_000_000.seconds
    }
}
