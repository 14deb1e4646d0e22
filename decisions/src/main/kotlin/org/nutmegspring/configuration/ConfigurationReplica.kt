package org.nutmegspring.configuration

import org.nutmegspring.identity.Revision

/** The result of offering a change or state to a replica. */
sealed interface OfferOutcome {
    /** The change or state was applied. */
    data object Applied : OfferOutcome

    /** The replica is already at this revision or a newer one. */
    data object AlreadyApplied : OfferOutcome

    /** Changes between the [applied] revision of the replica and the [offered] one are missing. */
    data class Gap(val applied: Revision, val offered: Revision) : OfferOutcome
}

/**
 * The local replica of the configuration. It accepts only newer revisions and applies each atomically.
 *
 * It is not thread-safe.
 */
open class ConfigurationReplica {
    private val recentChanges = ArrayDeque<ConfigurationChange>()

    /** The applied state. */
    var state: ChainState = ChainState.EMPTY
        private set

    /** Applies [change] if it produces the next revision. */
    fun offer(change: ConfigurationChange): OfferOutcome {
        if (!canSupersede(change.revision, state.revision)) return OfferOutcome.AlreadyApplied
        if (change.revision != state.revision.next()) return OfferOutcome.Gap(state.revision, change.revision)
        state = state.apply(change)
        recentChanges.addLast(change)
        while (recentChanges.size > MAXIMUM_RECENT_CHANGES ||
            recentChanges.sumOf { it.edits.size } > MAXIMUM_RECENT_EDITS
        ) {
            recentChanges.removeFirst()
        }
        return OfferOutcome.Applied
    }

    /** Replaces the applied state by [offered] if that is newer. */
    fun offer(offered: ChainState): OfferOutcome {
        if (!canSupersede(offered.revision, state.revision)) return OfferOutcome.AlreadyApplied
        state = offered
        recentChanges.clear()
        return OfferOutcome.Applied
    }

    /** Returns the changes after [revision] up to the applied one, or null if some are no longer retained. */
    fun changesAfter(revision: Revision): List<ConfigurationChange>? {
        if (revision >= state.revision) return emptyList()
        val following = recentChanges.filter { it.revision > revision }
        return following.takeIf { it.isNotEmpty() && it.first().revision == revision.next() }
    }

    /** Returns whether the revision [offered] may replace [applied]. */
    protected open fun canSupersede(offered: Revision, applied: Revision): Boolean = offered > applied

    private companion object {
        const val MAXIMUM_RECENT_CHANGES = 256
        const val MAXIMUM_RECENT_EDITS = 4_096
    }
}
