package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.configuration.ServingConfiguration
import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.gateway.forwarding.CurrentConfiguration
import org.nutmegspring.gateway.forwarding.QuotaTable
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.peers.InstanceRecord
import org.nutmegspring.gateway.peers.PeerTable
import org.nutmegspring.gateway.store.FeedEvent
import org.nutmegspring.gateway.store.FeedListener
import org.nutmegspring.gateway.store.Listing
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime

/** Logs when the store stops answering a feed and when it answers again. */
internal abstract class LoggedFeedListener<T>(
    private val feed: String,
    private val log: DecisionLog,
) : FeedListener<T> {
    override fun onLost(
        failure: StoreFailure,
    ) = log.record(DecisionEvent.DependencyLost("store: $feed", failure.toString()))

    override fun onRegained() = log.record(DecisionEvent.DependencyRegained("store: $feed"))
}

/** Applies configurations, and records which one the store shows with every answer. */
internal class ConfigurationListener(
    private val currentConfiguration: CurrentConfiguration,
    private val quotas: QuotaTable,
    log: DecisionLog,
) : LoggedFeedListener<ServingConfiguration>("configuration", log) {
    /** The version of the configuration in the store, or null if there is none that can be read. */
    private var shownVersion: Long? = null

    override fun onListed(
        listing: Listing<ServingConfiguration>,
        callStartedAt: MonotonicTime,
        regainedAt: MonotonicTime?,
    ) {
        shownVersion = null
        listing.entries.forEach { entry -> entry.value?.let(::apply) }
        currentConfiguration.recordAnswer(shownVersion, callStartedAt)
    }

    override fun onChanged(
        events: List<FeedEvent<ServingConfiguration>>,
        callStartedAt: MonotonicTime,
        regainedAt: MonotonicTime?,
    ) {
        events.filterIsInstance<FeedEvent.Changed<ServingConfiguration>>().forEach { it.entry.value?.let(::apply) }
        currentConfiguration.recordAnswer(shownVersion, callStartedAt)
    }

    private fun apply(configuration: ServingConfiguration) {
        shownVersion = configuration.version
        if (currentConfiguration.offer(configuration)) quotas.configure(configuration)
    }
}

/** Applies changes of the listed endpoints. */
internal class EndpointListener(
    private val endpoints: EndpointTable,
    private val clock: MonotonicClock,
    log: DecisionLog,
) : LoggedFeedListener<ServingEndpoint>("endpoints", log) {
    override fun onListed(listing: Listing<ServingEndpoint>, callStartedAt: MonotonicTime, regainedAt: MonotonicTime?) {
        endpoints.replace(listing, regainedAt, clock.now())
        endpoints.evidence.recordConfirmation(callStartedAt)
    }

    override fun onChanged(
        events: List<FeedEvent<ServingEndpoint>>,
        callStartedAt: MonotonicTime,
        regainedAt: MonotonicTime?,
    ) {
        events.forEach { endpoints.applyChange(it, regainedAt, clock.now()) }
        endpoints.evidence.recordConfirmation(callStartedAt)
    }

    override fun onLost(failure: StoreFailure) {
        endpoints.isFeedLost = true
        super.onLost(failure)
    }

    override fun onRegained() {
        endpoints.isFeedLost = false
        super.onRegained()
    }
}

/** Applies changes of the listed instances. One that still reports is kept: the store may have lost its record. */
internal class InstanceListener(
    private val peers: PeerTable,
    private val quotas: QuotaTable,
    private val clock: MonotonicClock,
    private val decode: (String) -> InstanceRecord?,
    log: DecisionLog,
) : LoggedFeedListener<String>("instances", log) {
    override fun onListed(listing: Listing<String>, callStartedAt: MonotonicTime, regainedAt: MonotonicTime?) {
        val listed = listing.entries.map { InstanceId(it.name) }.toSet()
        val reporting = peers.liveReports(clock.now()).map { it.instance }.toSet()
        peers.registered.keys.filter { it !in listed && it !in reporting }.forEach(peers::unregister)
        listing.entries.forEach { entry -> register(entry.name, entry.value) }
        peers.recordListing()
        quotas.updateMembers(peers.registered.keys)
    }

    override fun onChanged(events: List<FeedEvent<String>>, callStartedAt: MonotonicTime, regainedAt: MonotonicTime?) {
        for (event in events) {
            when (event) {
                is FeedEvent.Changed -> register(event.entry.name, event.entry.value)
                is FeedEvent.Removed -> peers.unregister(InstanceId(event.name))
            }
        }
        quotas.updateMembers(peers.registered.keys)
    }

    private fun register(name: String, value: String?) {
        value?.let(decode)?.let { peers.register(InstanceId(name), it) }
    }
}
