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
 * Keeps the replica current.
 *
 * A few observers in each data centre read the head of the chain each second; the other instances ask an observer of
 * their data centre. An instance whose evidence grows old asks more: the store, and then every peer.
 */
internal class ConfigurationSynchronizer(
    private val replica: SharedReplica,
    private val store: ChainStore,
    private val peers: ConfigurationPeers,
    private val catchUp: ConfigurationCatchUp,
    private val membership: Membership,
    private val clock: MonotonicClock,
) {
    private val gaps = Channel<Unit>(Channel.CONFLATED)
    private var round = 0

    /** Tells that a greater revision exists. */
    fun gapFound() {
        gaps.trySend(Unit)
    }

    /** Starts the loops in [scope]; they end with it. */
    fun start(scope: CoroutineScope) {
        scope.launch { every(INTERVAL) { readHeadWhenDue() } }
        scope.launch { every(INTERVAL) { askPeers() } }
        scope.launch { gaps.consumeEach { catchUp.run() } }
    }

    /** Asks [asked] for their state, a bounded number at once. */
    suspend fun ask(asked: Collection<InstanceId>): Unit = coroutineScope {
        asked.forEach { peer -> launch { peers.ask(peer) } }
    }

    private suspend fun readHeadWhenDue() {
        val age = replica.evidenceAge()
        if (!observes() && age != null && age < READ_WHEN_OLDER) return
        val sentAt = clock.now()
        val read = withTimeoutOrNull(READ_TIMEOUT) { store.readHead() } ?: return
        read.onRight { stored ->
            replica.headRead(stored?.head?.revision ?: Revision.NONE, sentAt)
            noticeGap()
        }
    }

    private suspend fun askPeers() {
        ask(peersToAsk())
        if (membership.selfListed) replica.countVotes(membership.listed())
        noticeGap()
    }

    private fun peersToAsk(): List<InstanceId> {
        val others = membership.contacts()
        val observing = observes()
        val ownAge = if (observing) replica.headReadAge() else replica.evidenceAge()
        val limit = if (observing) OBSERVER_ASKS_ALL_WHEN_OLDER else ASK_ALL_WHEN_OLDER
        if (ownAge == null || ownAge > limit) return others
        if (observing) return emptyList()
        val dataCentre = membership.self.dataCentre
        val near = membership.peers().filter { it.dataCentre == dataCentre && it.id in observing() }.map { it.id }
        return if (near.isEmpty()) others else listOf(near[round++ % near.size])
    }

    private fun noticeGap() {
        if (replica.revision < replica.greatestKnown) gapFound()
    }

    private fun observes(): Boolean = membership.self.id in observing()

    private fun observing(): Set<InstanceId> =
        selectObservers((membership.peers() + membership.self).associate { it.id to it.dataCentre })

    private suspend fun every(interval: Duration, action: suspend () -> Unit) = coroutineScope {
        while (isActive) {
            action()
            delay(interval)
        }
    }

    private companion object {
        val INTERVAL = 1.seconds
        val READ_TIMEOUT = 900.milliseconds
        val READ_WHEN_OLDER = 2500.milliseconds
        val OBSERVER_ASKS_ALL_WHEN_OLDER = 1500.milliseconds
        val ASK_ALL_WHEN_OLDER = 2900.milliseconds
    }
}

/** The other instances that are listed or believed to run. */
internal fun Membership.contacts(): List<InstanceId> = (listed() + peers().map { it.id } - self.id).sorted()
