package org.nutmegspring.measure.lease

import org.nutmegspring.measure.virtual.FaultWorld
import java.util.EnumMap

/** What a randomised run counts, so that it can be seen that it does something. */
internal enum class ControlCount {
    /** Orders that an engine accepted. */
    ACCEPTED_BY_ENGINE,

    /** Orders of endpoints that the platform accepted. */
    ACCEPTED_BY_PLATFORM,

    /** Targets that an engine reached. */
    REACHED,
}

/** What the processes and endpoints of one randomised run share. */
internal class ControlWorld(seed: Long) : FaultWorld(seed) {
    /** How often each kind of event was counted. */
    val counts = EnumMap<ControlCount, Long>(ControlCount::class.java)

    /** Counts [event]. */
    fun count(event: ControlCount) {
        counts.merge(event, 1L, Long::plus)
    }
}
