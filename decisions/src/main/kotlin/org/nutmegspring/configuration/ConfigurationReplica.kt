package org.nutmegspring.configuration

import org.nutmegspring.identity.Revision

/** What became of an offered change or state. */
sealed interface OfferOutcome {
    /** It was applied. */
    data object Applied : OfferOutcome

    /** The replica stands at this revision or a greater one. */
    data object AlreadyHeld : OfferOutcome

    /** Changes between the replica's revision and the offered one are missing. */
    data class Gap(val applied: Revision, val offered: Revision) : OfferOutcome
}

/**
 * The configuration that one process applies. It takes only greater revisions, each whole or not at all.
 *
 * It is not thread-safe.
 */
open class ConfigurationReplica {
    private val recent = ArrayDeque<ConfigurationChange>()

    /** The state that is applied. */
    var state: ChainState = ChainState.EMPTY
        private set

    /** Applies [change] when it is the next one. */
    fun offer(change: ConfigurationChange): OfferOutcome {
        if (!supersedes(change.revision, state.revision)) return OfferOutcome.AlreadyHeld
        if (change.revision != state.revision.next()) return OfferOutcome.Gap(state.revision, change.revision)
        state = state.apply(change)
        recent.addLast(change)
        while (recent.size > RECENT_CHANGES || recent.sumOf { it.edits.size } > RECENT_EDITS) recent.removeFirst()
        return OfferOutcome.Applied
    }

    /** Applies the whole state [offered] when it is newer. */
    fun offer(offered: ChainState): OfferOutcome {
        if (!supersedes(offered.revision, state.revision)) return OfferOutcome.AlreadyHeld
        state = offered
        recent.clear()
        return OfferOutcome.Applied
    }

    /** Returns the changes after [revision] up to the applied one, or null when some are no longer at hand. */
    fun changesAfter(revision: Revision): List<ConfigurationChange>? {
        if (revision >= state.revision) return emptyList()
        val following = recent.filter { it.revision > revision }
        return following.takeIf { it.isNotEmpty() && it.first().revision == revision.next() }
    }

    /** Whether [offered] may replace [applied]. */
    protected open fun supersedes(offered: Revision, applied: Revision): Boolean = offered > applied

    private companion object {
        const val RECENT_CHANGES = 256
        const val RECENT_EDITS = 4_096
    }
}
