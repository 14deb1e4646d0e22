package org.nutmegspring.invariant

/**
 * A violation of an invariant.
 *
 * @property seed the seed of the randomised run, or null in production
 * @property lastEvents the events that preceded the violation, oldest first
 */
data class Violation(
    val invariant: Invariant,
    val detail: String,
    val seed: Long?,
    val lastEvents: List<String>,
) {
    override fun toString(): String = buildString {
        append("invariant ").append(invariant).append(" violated: ").append(invariant.statement).append(": ")
        append(detail)
        seed?.let { append(" (seed ").append(it).append(')') }
        lastEvents.forEach { append("\n    ").append(it) }
    }
}

/** Receives violations. A randomised run stops at the first one; production counts and logs them. */
fun interface ViolationListener {
    /** Called once for each violation. */
    fun onViolation(violation: Violation)
}

/** Checks invariants and keeps the most recent events, so that a violation can be diagnosed without another run. */
class InvariantMonitor(
    private val seed: Long?,
    private val listener: ViolationListener,
) {
    private val events = ArrayDeque<String>()

    /** Records an event. [describe] is always called, immediately, so it should be cheap. */
    @Synchronized
    fun record(describe: () -> String) {
        if (events.size == MAXIMUM_EVENTS) events.removeFirst()
        events.addLast(describe())
    }

    /** Reports a violation of [invariant] when [holds] is false. */
    fun check(invariant: Invariant, holds: Boolean, detail: () -> String) {
        if (holds) return
        listener.onViolation(violation(invariant, detail()))
    }

    @Synchronized
    private fun violation(invariant: Invariant, detail: String): Violation =
        Violation(invariant, detail, seed, events.toList())

    private companion object {
        const val MAXIMUM_EVENTS = 40
    }
}
