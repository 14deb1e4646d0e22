package org.nutmegspring.gateway.instance

import org.nutmegspring.evacuation.EvacuationChange
import org.nutmegspring.evacuation.EvacuationState
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.GatewayMetrics
import org.nutmegspring.gateway.store.FeedEvent
import org.nutmegspring.gateway.store.FeedPace
import org.nutmegspring.gateway.store.Listing
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Applies the evacuations that the store shows. The name of an object counts, also where its value is unreadable. */
internal class EvacuationListener(
    private val evacuations: EvacuationState,
    private val ages: AgeClock,
    private val log: DecisionLog,
) : LoggedFeedListener<DataCentreId>("evacuations", log) {
    override fun onListed(listing: Listing<DataCentreId>, callStartedAt: MonotonicTime, regainedAt: MonotonicTime?) {
        val shown = listing.entries.map { DataCentreId(it.name) }.toSet()
        record(evacuations.applyListing(shown, listing.position.era, callStartedAt, ages))
    }

    override fun onChanged(
        events: List<FeedEvent<DataCentreId>>,
        callStartedAt: MonotonicTime,
        regainedAt: MonotonicTime?,
    ) {
        for (event in events) {
            when (event) {
                is FeedEvent.Changed -> {
                    record(evacuations.applyCreation(DataCentreId(event.entry.name), callStartedAt, ages))
                }

                is FeedEvent.Removed -> {
                    record(evacuations.applyDeletion(DataCentreId(event.name), callStartedAt, ages))
                }
            }
        }
        record(evacuations.confirm(callStartedAt, ages))
    }

    private fun record(changes: List<EvacuationChange>) =
        changes.forEach { log.record(DecisionEvent.EvacuationChanged(it)) }

    internal companion object {
        /**
         * What a follower adds to twice the wait of a relay until it knows of an evacuation: the margin of a statement,
         * the time to the next question, two unanswered questions, and a call of its own.
         */
        private val FOLLOWER_TIME = 1.seconds
        private val STATEMENT_MARGIN = 200.milliseconds
        private val MINIMUM_WAIT = 500.milliseconds

        /** Fewer calls than those of feeds on which serving depends, and a recovery is seen well within 4 s. */
        private val MAXIMUM_BACKOFF = 1.seconds

        /** A call on a connection that was cut ends 0.7 s after its wait, and 4 s after a cut the bound holds again. */
        private val MAXIMUM_WAIT = 2500.milliseconds

        /** Returns the pace with the fewest calls that keeps [bound], also when a relay has just lost the store. */
        fun paceFor(bound: Duration): FeedPace {
            val wait = ((bound - FOLLOWER_TIME) / 2).coerceIn(MINIMUM_WAIT, MAXIMUM_WAIT)
            return FeedPace(wait, statementMargin = STATEMENT_MARGIN, maximumBackoff = MAXIMUM_BACKOFF)
        }
    }
}

/** Registers the gauges of the evacuations with [metrics]. */
internal fun EvacuationState.registerGauges(metrics: GatewayMetrics, ages: AgeClock) {
    metrics.registerGauge("gateway_evacuated_data_centres") { inForce(ages).size.toDouble() }
    metrics.registerGauge("gateway_evacuation_evidence_age_seconds") {
        evidenceAge(ages)?.toDouble(DurationUnit.SECONDS) ?: -1.0
    }
}
