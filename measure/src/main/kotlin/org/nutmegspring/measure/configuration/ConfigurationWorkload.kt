package org.nutmegspring.measure.configuration

import arrow.core.Either
import kotlinx.coroutines.launch
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.ChangeProposal
import org.nutmegspring.configuration.ConfigurationEdit
import org.nutmegspring.configuration.ConfigurationPart
import org.nutmegspring.configuration.FreshnessTiming
import org.nutmegspring.configuration.OperatorName
import org.nutmegspring.configuration.Organisation
import org.nutmegspring.configuration.PartValue
import org.nutmegspring.configuration.Precondition
import org.nutmegspring.configuration.ProposedEdit
import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.KeyId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.Revision
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.node.configuration.CommitFailure
import org.nutmegspring.node.configuration.RevisionStatus
import org.nutmegspring.node.configuration.hashSecret
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random

/** A key of the workload. [revokedAt] is the time at which its revocation was accepted. */
internal class WorkloadKey(
    val secret: String,
    val key: ApiKey,
    var revokedAt: MonotonicTime? = null,
)

/** Operators that change the configuration of a fleet, callers that present keys, and the checks on both. */
internal class ConfigurationWorkload(
    private val fleet: SimulatedFleet,
    private val schedule: VirtualSchedule,
    private val random: Random,
    private val monitor: InvariantMonitor,
    private val timing: FreshnessTiming,
) {
    private val keys = ArrayList<WorkloadKey>()
    private val committedWeights = HashSet<Pair<OrganisationId, Int>>()
    private val accepted = ArrayList<Pair<Revision, MonotonicTime>>()
    private var names = 0

    /** How many changes were committed. */
    var committed = 0L
        private set

    /** How many requests were admitted. */
    var admitted = 0L
        private set

    /** How many requests were refused although their key was valid when it was presented. */
    var refusedWithValidKey = 0L
        private set

    /** How many proposals met another operator's change. */
    var conflicts = 0L
        private set

    /** Lets an operator make a random change at a random instance. */
    fun change() {
        randomProcess()?.let(::change)
    }

    /** Lets an operator make a random change at the instance [id] when it runs. */
    fun changeAt(id: InstanceId) {
        fleet.process(id)?.let(::change)
    }

    private fun change(process: SimulatedProcess) {
        when (random.nextInt(CHANGE_KINDS)) {
            0, 1 -> grant(process)
            2 -> revoke(process)
            else -> increaseWeight(process)
        }
    }

    /** Lets two operators change the same organisation at two instances. */
    fun race() {
        repeat(2) { randomProcess()?.let { increaseWeight(it) } }
    }

    /** Lets a caller present a random key at a random instance. */
    fun call() {
        val process = randomProcess()?.takeIf { !it.dispatcher.paused } ?: return
        val key = keys.randomOrNull(random) ?: return
        val view = process.configuration.view
        when (val result = view.authenticate(key.secret)) {
            is Either.Right -> checkAdmission(process, key, result.value)
            is Either.Left -> if (key.revokedAt == null) refusedWithValidKey++
        }
    }

    private fun checkAdmission(process: SimulatedProcess, key: WorkloadKey, found: ApiKey) {
        admitted++
        val now = schedule.now()
        monitor.check(Invariant.KEY_MATCHES_ORGANISATION, found.organisation == key.key.organisation) {
            "key ${key.key.id} of ${key.key.organisation} admitted for ${found.organisation}"
        }
        key.revokedAt?.let { revokedAt ->
            monitor.check(Invariant.REVOKED_KEY_STOPS, now - revokedAt <= timing.maximumPropagationDelay) {
                "${process.id} admitted ${key.key.id} ${now - revokedAt} after its revocation was accepted"
            }
        }
        val bound = now - timing.maximumPropagationDelay
        val due = accepted.lastOrNull { it.second < bound }?.first ?: Revision.NONE
        val applied = process.configuration.state.revision
        monitor.check(Invariant.ACCEPTED_CHANGE_STAYS, applied >= due) { "${process.id} admits at $applied, due $due" }
    }

    private fun grant(process: SimulatedProcess) {
        val organisation = process.configuration.state.configuration.organisations.keys.randomOrNull(random) ?: return
        val secret = "secret-${names++}"
        val key = ApiKey(KeyId("k$names"), organisation, hashSecret(secret))
        propose(process, ConfigurationEdit.Put(PartValue.KeyValue(key)), Precondition.Absent) {
            keys += WorkloadKey(secret, key)
        }
    }

    private fun revoke(process: SimulatedProcess) {
        val key = keys.filter { it.revokedAt == null }.randomOrNull(random) ?: return
        val edit = ConfigurationEdit.Remove(ConfigurationPart.KeyPart(key.key.id))
        propose(process, edit, Precondition.Any) { status ->
            if (status.accepted && key.revokedAt == null) key.revokedAt = schedule.now()
        }
    }

    private fun increaseWeight(process: SimulatedProcess) {
        val id = OrganisationId("o${random.nextInt(ORGANISATIONS)}")
        val record = process.configuration.state.records[ConfigurationPart.OrganisationPart(id)]
        val current = (record?.value as? PartValue.OrganisationValue)?.organisation
        val weight = (current?.weight ?: 0) + 1
        val organisation = Organisation(id, id.value, TokenRate(1, 1), weight)
        val expectation = record?.let { Precondition.LastChangedAt(it.lastChange.revision) } ?: Precondition.Absent
        propose(process, ConfigurationEdit.Put(PartValue.OrganisationValue(organisation)), expectation) {
            monitor.check(Invariant.NO_LOST_UPDATE, committedWeights.add(id to weight)) {
                "two changes set the weight of $id to $weight"
            }
        }
    }

    private fun propose(
        process: SimulatedProcess,
        edit: ConfigurationEdit,
        expectation: Precondition,
        onCommitted: (RevisionStatus) -> Unit,
    ) {
        val operator = OperatorName("operator-${random.nextInt(OPERATORS)}")
        val proposal = ChangeProposal(operator, listOf(ProposedEdit(edit, expectation)))
        process.scope.launch {
            process.configuration.commit(proposal).fold(
                { if (it is CommitFailure.Rejected) conflicts++ },
                { status ->
                    committed++
                    monitor.record { "${schedule.now().nanoseconds} ${process.id} $status ${edit.part.path}" }
                    if (status.accepted) noteAccepted(status.revision)
                    onCommitted(status)
                },
            )
        }
    }

    private fun noteAccepted(revision: Revision) {
        val greatest = accepted.lastOrNull()?.first ?: Revision.NONE
        if (revision > greatest) accepted += revision to schedule.now()
    }

    private fun randomProcess(): SimulatedProcess? = fleet.processes.randomOrNull(random)

    private companion object {
        const val CHANGE_KINDS = 5
        const val ORGANISATIONS = 5
        const val OPERATORS = 3
    }
}
