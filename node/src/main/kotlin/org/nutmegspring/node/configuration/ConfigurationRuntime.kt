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

/** What the configuration of an instance works with. */
data class ConfigurationEnvironment(
    val objects: ObjectStore,
    val network: InnerNetwork,
    val membership: Membership,
    val clock: MonotonicClock,
    val monitor: InvariantMonitor,
    val wallClock: Clock = Clock.systemUTC(),
)

/**
 * Rules by which the configuration is applied and accepted.
 *
 * @property quorum how many of the listed instances must hold a change before it is accepted
 */
class ConfigurationPolicy(
    val timing: FreshnessTiming = FreshnessTiming(),
    val replica: ConfigurationReplica = ConfigurationReplica(),
    val quorum: (listed: Int) -> Int = ::quorumSize,
)

/** The configuration of a running instance. */
interface ConfigurationRuntime {
    /** What the rest of the instance sees of the configuration. */
    val view: ConfigurationView

    /** The applied state with its records. */
    val state: ChainState

    /** The age of the evidence that the applied configuration is current, or null without evidence. */
    val evidenceAge: Duration?

    /** How long ago the head of the chain was last read from the store, or null before that. */
    val headReadAge: Duration?

    /** Keeps the configuration current in [scope] until that ends. */
    fun start(scope: CoroutineScope)

    /** Commits [proposal] to the chain, hands it to the other instances and returns how far it came. */
    suspend fun change(proposal: ChangeProposal): Either<CommitFailure, RevisionStatus>

    /** Returns how far [revision] has come. */
    suspend fun status(revision: Revision): RevisionStatus
}

/** Returns the configuration of an instance. It handles messages at once and keeps current after its start. */
fun configurationRuntime(
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
    private val tracker = RevisionTracker(replica, peers, membership, policy.timing, clock, policy.quorum)

    override val view: ConfigurationView = ReplicatedConfigurationView(replica, policy.timing, environment.wallClock)
    override val state: ChainState get() = replica.state
    override val evidenceAge: Duration? get() = replica.evidenceAge()
    override val headReadAge: Duration? get() = replica.headReadAge()

    init {
        environment.network.addHandler(ConfigurationHandler(self, replica, synchronizer::gapFound))
    }

    override fun start(scope: CoroutineScope) = synchronizer.start(scope)

    override suspend fun change(proposal: ChangeProposal): Either<CommitFailure, RevisionStatus> =
        committer.commit(proposal).map { tracker.spread(it) }

    override suspend fun status(revision: Revision): RevisionStatus = tracker.status(revision)
}
