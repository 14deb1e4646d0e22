package org.nutmegspring.memory

import org.nutmegspring.time.MonotonicTime
import kotlin.math.pow
import kotlin.time.Duration.Companion.seconds

/** What the caller of a connection makes the process hold. */
enum class MemoryUse {
    /** The connection itself. */
    CONNECTION,

    /** Bytes that were received and not decoded yet. */
    UNDECODED,

    /** The head and the body of the request that is being received. */
    INCOMING,

    /** Whole requests that wait behind another one. */
    QUEUED,

    /** The request that is being handled. */
    RUNNING,

    /** Answers that the system has not taken yet. */
    UNWRITTEN,
}

/** The bytes that are charged to one connection, and how fast the connection moves. Belongs to a [MemoryBudget]. */
class MemoryAccount internal constructor(openedAt: MonotonicTime, private val onChange: (Long) -> Unit) {
    private val bytes = LongArray(MemoryUse.entries.size)
    private var movedBytes = 0.0
    internal var movedAt = openedAt
        private set

    /** All bytes that are charged. */
    var heldBytes: Long = 0
        private set

    /** Whether a request was received completely on the connection. */
    var hasCompleted: Boolean = false

    /** Whether the account was closed, after which nothing is charged any more. */
    internal var isClosed = false

    /** Whether reading is paused because of the budget. */
    var isPaused: Boolean = false
        internal set

    /** The bytes that are charged for [use]. */
    operator fun get(use: MemoryUse): Long = bytes[use.ordinal]

    /** Charges [amount] bytes for [use] instead of what was charged before. */
    operator fun set(use: MemoryUse, amount: Long) {
        if (isClosed) return
        val change = amount - bytes[use.ordinal]
        bytes[use.ordinal] = amount
        heldBytes += change
        onChange(change)
    }

    /** Records that [count] bytes were read from or taken by the caller at [now]. */
    fun recordMoved(count: Long, now: MonotonicTime) {
        movedBytes = recentlyMoved(now) + count
        movedAt = now
    }

    /** The bytes that moved lately; each second halves the weight of a byte. */
    internal fun recentlyMoved(now: MonotonicTime): Double = movedBytes * HALF.pow((now - movedAt) / 1.seconds)

    private companion object {
        const val HALF = 0.5
    }
}
