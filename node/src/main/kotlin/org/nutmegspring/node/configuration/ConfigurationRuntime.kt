package org.nutmegspring.node.configuration

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import org.nutmegspring.configuration.ChainState
import org.nutmegspring.configuration.ChangeProposal
import org.nutmegspring.configuration.ConfigurationReplica
import org.nutmegspring.configuration.FreshnessEvidence
import org.nutmegspring.configuration.FreshnessTiming
import org.nutmegspring.configuration.quorumSize
import org.nutmegspring.identity.Revision
import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.time.MonotonicClock
import java.time.Clock
import kotlin.time.Duration

/** The dependencies of the [ConfigurationRuntime] of an instance. */
data class ConfigurationEnvironment(
    val objects: ObjectStore,
    val network: InnerNetwork,
    val membership: Membership,
    val clock: MonotonicClock,
    val monitor: InvariantMonitor,
    val wallClock: Clock = Clock.systemUTC(),
)

/**
 * Rules for applying and accepting configuration changes.
 *
 * @property computeQuorum returns how many of the listed instances must hold a change before it is accepted
 */
class ConfigurationPolicy(
    val timing: FreshnessTiming = FreshnessTiming(),
    val replica: ConfigurationReplica = ConfigurationReplica(),
    val computeQuorum: (listed: Int) -> Int = ::quorumSize,
)

/** Replicates the configuration to a running instance and commits changes to it. */
interface ConfigurationRuntime {
    /** The view of the configuration that the other components of the instance use. */
    val view: ConfigurationView

    /** The applied chain state, including the record of each part. */
    val state: ChainState

    /** The age of the evidence that the applied configuration is current, or null if there is none. */
    val evidenceAge: Duration?

    /** The time since the last read of the chain's head from the store was sent, or null before the first read. */
    val headReadAge: Duration?

    /** Starts the synchronization of the configuration in [scope]; it runs until the scope is cancelled. */
    fun start(scope: CoroutineScope)

    /** Commits [proposal] to the chain, pushes it to the other instances and returns its propagation status. */
    suspend fun commit(proposal: ChangeProposal): Either<CommitFailure, RevisionStatus>

    /** Queries the instances not known to apply [revision] and returns its propagation status. */
    suspend fun queryStatus(revision: Revision): RevisionStatus
}

/** Creates a runtime that handles requests of other instances at once and synchronizes once it is started. */
fun createConfigurationRuntime(
    environment: ConfigurationEnvironment,
    policy: ConfigurationPolicy = ConfigurationPolicy(),
): ConfigurationRuntime = ReplicatedConfiguration(environment, policy)

private class ReplicatedConfiguration(
    private val environment: ConfigurationEnvironment,
    policy: ConfigurationPolicy,
) : ConfigurationRuntime {
    private val clock = environment.clock
    private val membership = environment.membership
    private val self = membership.self.id
    private val evidence = FreshnessEvidence(self, policy.timing, clock.now())
    private val replica = SharedReplica(policy.replica, evidence, clock, environment.monitor)
    private val store = ChainStore(environment.objects)
    private val peers = ConfigurationPeers(environment.network, replica, clock)
    private val catchUp = ConfigurationCatchUp(replica, store, peers)
    private val synchronizer = ConfigurationSynchronizer(replica, store, peers, catchUp, membership, clock)
    private val committer =
        ConfigurationCommitter(membership.self.incarnation, replica, store, catchUp, clock)
    private val tracker = RevisionTracker(replica, peers, membership, policy.timing, clock, policy.computeQuorum)

    override val view: ConfigurationView = ReplicatedConfigurationView(replica, policy.timing, environment.wallClock)
    override val state: ChainState get() = replica.state
    override val evidenceAge: Duration? get() = replica.computeEvidenceAge()
    override val headReadAge: Duration? get() = replica.computeHeadReadAge()

    init {
        environment.network.addHandler(ConfigurationHandler(self, replica, synchronizer::requestCatchUp))
    }

    override fun start(scope: CoroutineScope) = synchronizer.start(scope)

    override suspend fun commit(proposal: ChangeProposal): Either<CommitFailure, RevisionStatus> =
        committer.commit(proposal).map { tracker.propagate(it) }

    override suspend fun queryStatus(revision: Revision): RevisionStatus = tracker.queryStatus(revision)
}
