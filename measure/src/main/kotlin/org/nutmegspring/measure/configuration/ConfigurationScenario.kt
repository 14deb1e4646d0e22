package org.nutmegspring.measure.configuration

import org.nutmegspring.configuration.ConfigurationReplica
import org.nutmegspring.configuration.FreshnessTiming
import org.nutmegspring.identity.Revision
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.invariant.Violation
import org.nutmegspring.measure.fault.Defect
import org.nutmegspring.measure.fault.FaultScenario
import org.nutmegspring.measure.fault.ScenarioOutcome
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.node.configuration.ConfigurationPolicy
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Changes of the configuration and calls with keys, under every fault of the store, the network and the instances. */
class ConfigurationScenario : FaultScenario {
    override val name: String = "configuration"

    override val defects: List<Defect> = listOf(UNCOMPARED_REVISION, ACCEPTED_ALONE, EVIDENCE_WITHOUT_AGE)

    override fun run(seed: Long, steps: Int, defect: Defect?): ScenarioOutcome = SimulatedRun(
        seed,
        defect,
    ).execute(steps)

    private class SimulatedRun(seed: Long, private val defect: Defect?) {
        private val schedule = VirtualSchedule()
        private val random = Random(seed)
        private var violation: Violation? = null
        private val monitor = InvariantMonitor(seed) { if (violation == null) violation = it }
        private val store = FaultyStore(schedule, random)
        private val network = FaultyNetwork(schedule, random)
        private val setup = FleetSetup(INSTANCES, DATA_CENTRES, clockDeviation = CLOCK_DEVIATION) { policy() }
        private val fleet = SimulatedFleet(setup, schedule, random, monitor, store, network)
        private val workload = ConfigurationWorkload(fleet, schedule, random, monitor, FreshnessTiming())
        private val faults = ConfigurationFaults(fleet, workload, schedule, random)

        fun execute(steps: Int): ScenarioOutcome {
            fleet.start()
            repeating(CHANGE_INTERVAL) { workload.change() }
            repeating(CALL_INTERVAL) { workload.call() }
            repeating(FAULT_INTERVAL) { faults.inject() }
            while (schedule.executed < steps && violation == null) schedule.step()
            return ScenarioOutcome(schedule.executed, faults.counts, digest(), violation)
        }

        private fun repeating(interval: Duration, action: () -> Unit): Unit =
            schedule.after(interval * (random.nextDouble() * 2)) {
                action()
                repeating(interval, action)
            }

        private fun digest(): Long = listOf(
            schedule.now().nanoseconds,
            workload.committed,
            workload.admitted,
            workload.refusedWithValidKey,
            store.reads,
            network.messages,
        ).fold(1L) { digest, value -> digest * DIGEST_FACTOR + value }

        private fun policy(): ConfigurationPolicy = when (defect) {
            UNCOMPARED_REVISION -> ConfigurationPolicy(replica = UncomparedReplica())
            ACCEPTED_ALONE -> ConfigurationPolicy(computeQuorum = { 1 })
            EVIDENCE_WITHOUT_AGE -> ConfigurationPolicy(FreshnessTiming(freshnessBound = 24.hours))
            else -> ConfigurationPolicy()
        }
    }

    private class UncomparedReplica : ConfigurationReplica() {
        override fun canSupersede(offered: Revision, applied: Revision): Boolean = true
    }

    private companion object {
        const val INSTANCES = 7
        const val DATA_CENTRES = 3
        const val CLOCK_DEVIATION = 0.001
        const val DIGEST_FACTOR = 1_000_003L
        val CHANGE_INTERVAL = 700.milliseconds
        val CALL_INTERVAL = 50.milliseconds
        val FAULT_INTERVAL = 3.seconds
        val UNCOMPARED_REVISION =
            Defect("a revision is applied without comparison", setOf(Invariant.MONOTONIC_REVISION))
        val ACCEPTED_ALONE = Defect(
            "a change is accepted before a quorum holds it",
            setOf(Invariant.REVOKED_KEY_STOPS, Invariant.ACCEPTED_CHANGE_STAYS),
        )
        val EVIDENCE_WITHOUT_AGE = Defect(
            "evidence of being current does not grow old",
            setOf(Invariant.REVOKED_KEY_STOPS, Invariant.ACCEPTED_CHANGE_STAYS),
        )
    }
}
