package org.nutmegspring.gateway.instance

import org.nutmegspring.currency.RelayChoice
import org.nutmegspring.gateway.peers.FeedQuestion
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.gateway.store.FeedFollower
import org.nutmegspring.gateway.store.FeedInquiry
import org.nutmegspring.gateway.store.FeedListener
import org.nutmegspring.gateway.store.FeedPace
import org.nutmegspring.gateway.store.StoreFeed
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Follows the feeds of the store, with the help of the relays among the instances.
 *
 * @param ask sends a question to the address of another instance
 */
internal class InstanceFeeds(
    private val self: InstanceId,
    private val dataCentre: DataCentreId,
    private val peers: PeerTable,
    private val phase: () -> InstancePhase,
    ask: (String, FeedQuestion) -> Unit,
    private val clock: MonotonicClock,
    private val ages: AgeClock,
    private val random: Random,
) {
    /** Asks the relays, and answers for this instance where it is one. */
    val inquiry = FeedInquiry(::findRelays, ask, clock, ages, random)

    /** Follows [feed], called [name], at [pace] as one of [tasks]. */
    fun <T : Any> follow(
        tasks: LastingTasks,
        name: String,
        feed: StoreFeed<T>,
        listener: FeedListener<T>,
        pace: FeedPace,
    ) {
        val witness = inquiry.witness(name)
        tasks.start("feed of $name") { FeedFollower(feed, listener, clock, ages, pace, random, witness).run() }
    }

    private fun findRelays(): List<String> {
        val others = peers.readyInstances(clock.now())
        val relays = RelayChoice.relays(if (phase() == InstancePhase.READY) others + self else others)
        if (self in relays) return emptyList()
        val records = peers.registered
        return RelayChoice.orderFor(self, relays) { records[it]?.dataCentre == dataCentre }
            .mapNotNull { records[it]?.exchangeAddress }
    }

    companion object {
        /** What others know is based on the evidence of a relay, so that this is shorter than their own waits. */
        private val RELAY_WAIT = 700.milliseconds

        /** A shorter wait confirms the newest configuration more often but costs more calls. */
        val CONFIGURATION_PACE = FeedPace(wait = 1200.milliseconds, relayWait = RELAY_WAIT)

        /** A silent connection to the store is detected after this plus a margin, before an endpoint must be unused. */
        val ENDPOINT_PACE = FeedPace(wait = 1.seconds, relayWait = RELAY_WAIT)

        /** Nothing depends on how soon an instance is known; when many start, their records come together. */
        val INSTANCE_PACE = FeedPace(wait = 10.seconds, pause = 2.seconds)
    }
}
