package org.nutmegspring.gateway.instance

import kotlinx.coroutines.delay
import org.nutmegspring.gateway.configuration.ServiceDefinition
import org.nutmegspring.gateway.duties.DutyCaller
import org.nutmegspring.gateway.duties.EndpointOrderer
import org.nutmegspring.gateway.duties.FleetDemands
import org.nutmegspring.gateway.duties.RoleOrderer
import org.nutmegspring.gateway.duties.UsageReporter
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.settings.GatewaySettings
import org.nutmegspring.gateway.store.PlatformPorts
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.lease.Duty
import org.nutmegspring.lease.DutyPlacement
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.lease.LeaseHolder
import org.nutmegspring.lease.LeaseRole
import org.nutmegspring.lease.LeaseRules
import org.nutmegspring.lease.LeaseTiming
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.node.control.LeaseManager
import org.nutmegspring.roles.RoleBalancer
import org.nutmegspring.spending.FleetDemand
import org.nutmegspring.spending.FleetSizing
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The state of the instance that the duties depend on.
 *
 * @property readyPeers the other instances that can take over the duties
 * @property propagationTime time within which the reports of this instance reach the others
 * @property storeEraAge for how long at least the era of the store has lasted, null before its first answer
 * @property demands the demand of the fleet on services whose endpoints follow it
 * @property countRequests returns the number of requests of each organisation in a usage window, over all instances
 */
internal class DutyInputs(
    val phase: () -> InstancePhase,
    val readyPeers: () -> Set<InstanceId>,
    val services: () -> Collection<ServiceDefinition>,
    val propagationTime: () -> Duration,
    val storeEraAge: () -> Duration?,
    val countRequests: (Long) -> Map<OrganisationId, Long>,
    val endpoints: EndpointTable,
    val demands: FleetDemands,
)

/** The duties that one instance at a time carries out, all under one lease. */
internal class InstanceDuties(
    private val settings: GatewaySettings,
    private val self: LeaseHolder,
    private val platform: PlatformPorts,
    private val inputs: DutyInputs,
    private val clock: MonotonicClock,
    private val ages: AgeClock,
    private val log: DecisionLog,
) {
    private val duty = Duty.UsageWindows(0)
    private val lease = LeaseManager(
        duty = duty,
        self = self,
        store = platform.store,
        clock = clock,
        rules = LeaseRules(
            LeaseTiming(
                duration = (settings.bounds.leaseMilliseconds ?: 0).milliseconds,
                renewInterval = RENEW_INTERVAL,
            ),
        ),
        desiredRole = ::desiredRole,
        // Releases only while stopping, when no further call is made; an instance that is ready again keeps the lease.
        canRelease = { isStopping && caller.isDrained() },
        ages = ages,
    )
    private val isStopping: Boolean get() = inputs.phase() == InstancePhase.DRAINING
    private val caller: DutyCaller = DutyCaller(self.instance, ::activeLease, platform.duties, clock, ages, log)
    private val endpointOrderer =
        EndpointOrderer(caller, inputs.services, inputs.endpoints, FleetSizing(), inputs.demands::find, log)
    private val roleOrderer =
        RoleOrderer(caller, inputs.endpoints, RoleBalancer(), endpointOrderer::isGrowing, inputs.propagationTime)
    private var loggedLease: HeldLease? = null

    /** Whether this instance holds the duties. */
    val isHolding: Boolean get() = lease.heldLease() != null

    /** The sum of the target numbers of endpoints, 0 while this instance does not hold the duties. */
    val targetEndpoints: Int get() = endpointOrderer.targetEndpoints

    /** Returns the sum of [figure] over the demands that the targets follow. */
    fun sumDemand(figure: (FleetDemand) -> Double): Double = endpointOrderer.demands().sumOf(figure)

    /** Returns the instances that may hold the duties next, this one included. */
    fun participants(): List<InstanceId> = DutyPlacement.participants(duty, candidates())

    /** Returns the engines whose role this instance is changing, if it holds the duties. */
    fun changingEngines(): List<EndpointId> = if (isHolding) roleOrderer.changingEngines() else emptyList()

    /** Takes part in the duties by [tasks], unless the settings disable the lease. */
    fun start(tasks: LastingTasks) {
        if ((settings.bounds.leaseMilliseconds ?: 0) <= 0) return
        tasks.start("lease") {
            // The first answer to a feed tells the era of the store, for which the lease would make a call of its own.
            while (platform.store.era == null) delay(ERA_CHECK)
            lease.run()
        }
        tasks.start("roles") { roleOrderer.run() }
        if (settings.platform.duties.isNullOrEmpty()) return
        tasks.start("endpoints") { endpointOrderer.run() }
        val reportDeadline = settings.bounds.usageReportSeconds?.seconds ?: return
        if ((settings.bounds.usageWindowSeconds ?: 0.0) > 0) {
            tasks.start("usage") { createUsageReporter(reportDeadline).run() }
        }
    }

    private fun createUsageReporter(reportDeadline: Duration) = UsageReporter(
        caller = caller,
        store = platform.store,
        eraAge = inputs.storeEraAge,
        countRequests = inputs.countRequests,
        propagationTime = inputs.propagationTime,
        windowLength = settings.bounds.usageWindow,
        reportDeadline = reportDeadline,
        wallClockMilliseconds = System::currentTimeMillis,
        onSkipped = { window ->
            log.record(
                DecisionEvent.Skipped("usage window $window", "its counts may be lost with the store's last writes"),
            )
        },
    )

    private fun activeLease(): HeldLease? {
        val active = lease.heldLease()?.takeIf { !isStopping }
        if (active?.fencing != loggedLease?.fencing) {
            log.record(DecisionEvent.DutyChanged(duty.key.value, active != null, active?.fencing))
            loggedLease = active
        }
        return active
    }

    private fun desiredRole(): LeaseRole {
        if (inputs.phase() != InstancePhase.READY) return LeaseRole.NONE
        return DutyPlacement.desiredRole(duty, self.instance, candidates())
    }

    private fun candidates(): Set<InstanceId> =
        if (inputs.phase() == InstancePhase.READY) inputs.readyPeers() + self.instance else inputs.readyPeers()

    private companion object {
        val RENEW_INTERVAL = 1.seconds
        val ERA_CHECK = 50.milliseconds
    }
}
