package org.nutmegspring.node.configuration

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.nutmegspring.configuration.selectObservers
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the replica up to date.
 *
 * A few observers in each data centre read the head of the chain every second; the other instances query an observer in
 * their data centre. An instance whose evidence becomes old also reads the head itself and then queries every peer.
 */
internal class ConfigurationSynchronizer(
    private val replica: SharedReplica,
    private val store: ChainStore,
    private val peers: ConfigurationPeers,
    private val catchUp: ConfigurationCatchUp,
    private val membership: Membership,
    private val clock: MonotonicClock,
) {
    private val catchUpRequests = Channel<Unit>(Channel.CONFLATED)
    private var round = 0

    /** Requests a catch-up because a revision newer than the applied one is known to exist. */
    fun requestCatchUp() {
        catchUpRequests.trySend(Unit)
    }

    /** Starts the synchronization loops in [scope]; they run until the scope is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch { repeatEvery(ROUND_INTERVAL) { readHeadWhenDue() } }
        scope.launch { repeatEvery(ROUND_INTERVAL) { queryPeers() } }
        scope.launch { catchUpRequests.consumeEach { catchUp.run() } }
    }

    /** Queries the state of all [targets] concurrently. */
    suspend fun queryStates(targets: Collection<InstanceId>): Unit = coroutineScope {
        targets.forEach { peer -> launch { peers.queryState(peer) } }
    }

    private suspend fun readHeadWhenDue() {
        val age = replica.computeEvidenceAge()
        if (!isObserver() && age != null && age < READ_HEAD_ABOVE_AGE) return
        val sentAt = clock.now()
        val read = withTimeoutOrNull(HEAD_READ_TIMEOUT) { store.readHead() } ?: return
        read.onRight { stored ->
            replica.recordHeadRead(stored?.head?.revision ?: Revision.NONE, sentAt)
            requestCatchUpIfBehind()
        }
    }

    private suspend fun queryPeers() {
        queryStates(selectPeersToQuery())
        if (membership.isSelfListed) replica.countVotes(membership.listedInstances())
        requestCatchUpIfBehind()
    }

    private fun selectPeersToQuery(): List<InstanceId> {
        val others = membership.otherInstances()
        val observesHead = isObserver()
        val evidenceAge = if (observesHead) replica.computeHeadReadAge() else replica.computeEvidenceAge()
        val maximumAge = if (observesHead) OBSERVER_QUERIES_ALL_ABOVE_AGE else QUERY_ALL_ABOVE_AGE
        if (evidenceAge == null || evidenceAge > maximumAge) return others
        if (observesHead) return emptyList()
        val dataCentre = membership.self.dataCentre
        val observers = membership.peers().filter {
            it.dataCentre == dataCentre && it.id in findObservers()
        }.map { it.id }
        return if (observers.isEmpty()) others else listOf(observers[round++ % observers.size])
    }

    private fun requestCatchUpIfBehind() {
        if (replica.revision < replica.greatestKnown) requestCatchUp()
    }

    private fun isObserver(): Boolean = membership.self.id in findObservers()

    private fun findObservers(): Set<InstanceId> =
        selectObservers((membership.peers() + membership.self).associate { it.id to it.dataCentre })

    private suspend fun repeatEvery(interval: Duration, action: suspend () -> Unit) = coroutineScope {
        while (isActive) {
            action()
            delay(interval)
        }
    }

    private companion object {
        val ROUND_INTERVAL = 1.seconds
        val HEAD_READ_TIMEOUT = 900.milliseconds
        val READ_HEAD_ABOVE_AGE = 2500.milliseconds
        val OBSERVER_QUERIES_ALL_ABOVE_AGE = 1500.milliseconds
        val QUERY_ALL_ABOVE_AGE = 2900.milliseconds
    }
}

/** Returns the other instances that are listed by the platform or known to run, in the order of their ids. */
internal fun Membership.otherInstances(): List<InstanceId> =
    (listedInstances() + peers().map { it.id } - self.id).sorted()
