package org.nutmegspring.memory

import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * The bounds of a [MemoryBudget].
 *
 * @property totalBytes what all connections may hold together
 * @property reservedBytes the part of it that only connections that hold little may use
 * @property maximumConnections how many connections may be open
 */
data class MemoryBounds(
    val totalBytes: Long,
    val reservedBytes: Long = totalBytes / RESERVED_PARTS,
    val maximumConnections: Int,
) {
    private companion object {
        const val RESERVED_PARTS = 4L
    }
}

/** What becomes of a connection that holds too much. */
enum class MemoryAction {
    /** Reading goes on. */
    RESUME,

    /** The request that is being received is refused as not run, and the connection ends. */
    REFUSE,

    /** The connection is closed. */
    CLOSE,
}

/**
 * Decides what the callers of all connections may make the process hold together.
 *
 * Reading from connections that hold much is paused while the part of the budget that is not reserved is used up. When
 * that does not pass within [PAUSE_TIME], the connections that hold most and move least are refused or closed. A
 * connection that holds little is read while the reserve lasts, and so is one beside which nearly nothing is held.
 */
class MemoryBudget(private val bounds: MemoryBounds) {
    private val accounts = LinkedHashSet<MemoryAccount>()
    private val paused = LinkedHashSet<MemoryAccount>()
    private var pressedSince: MonotonicTime? = null

    /** All bytes that are charged. */
    var heldBytes: Long = 0
        private set

    /** The number of times that reading was paused, requests were refused and connections closed. */
    var pauseCount: Long = 0
        private set

    /** The requests that were refused while they were received. */
    var refusedCount: Long = 0
        private set

    /** The connections that were closed because of the budget or for a new connection. */
    var closedCount: Long = 0
        private set

    /** The number of open connections. */
    val connectionCount: Int get() = accounts.size

    /** The number of connections that are not read because of the budget. */
    val pausedCount: Int get() = paused.size

    /** Whether [review] has something to decide. */
    val isReviewNeeded: Boolean get() = paused.isNotEmpty() || heldBytes >= bounds.totalBytes

    /** Opens the account of a new connection. */
    fun open(now: MonotonicTime): MemoryAccount = MemoryAccount(now) { heldBytes += it }.also {
        accounts += it
        it[MemoryUse.CONNECTION] = CONNECTION_BYTES
    }

    /** Releases all that is charged to [account]. */
    fun close(account: MemoryAccount) {
        if (!accounts.remove(account)) return
        paused -= account
        MemoryUse.entries.forEach { account[it] = 0 }
        account.isClosed = true
    }

    /** Returns the connection that is to be closed for [newest], null while there is room for all. */
    fun selectForNew(newest: MemoryAccount): MemoryAccount? {
        if (accounts.size <= bounds.maximumConnections) return null
        closedCount++
        // One that has never sent a whole request is the first, so that a crowd displaces its own connections.
        return accounts.filter { it !== newest && it[MemoryUse.RUNNING] == 0L && it[MemoryUse.UNWRITTEN] == 0L }
            .minWithOrNull(compareBy({ it.hasCompleted }, { it.movedAt })) ?: newest
    }

    /** Whether more may be read for [account]. If not, reading is paused until [review] resumes it. */
    fun mayRead(account: MemoryAccount, now: MonotonicTime): Boolean {
        if (isWithin(account)) return true
        if (account !in accounts) return false
        if (paused.add(account)) {
            account.isPaused = true
            pauseCount++
        }
        if (pressedSince == null) pressedSince = now
        return false
    }

    private fun isWithin(account: MemoryAccount): Boolean = when {
        heldBytes < bounds.totalBytes - bounds.reservedBytes -> true
        account.heldBytes <= SMALL_BYTES -> heldBytes < bounds.totalBytes
        else -> heldBytes - account.heldBytes < bounds.reservedBytes
    }

    /** Returns what is to be done at [now] with which connections, in this order. */
    fun review(now: MonotonicTime): List<Pair<MemoryAccount, MemoryAction>> {
        val resumed = paused.filter(::isWithin)
        paused -= resumed.toSet()
        resumed.forEach { it.isPaused = false }
        if (!isReviewNeeded) pressedSince = null
        val since = pressedSince ?: now.also { if (isReviewNeeded) pressedSince = it }
        val isPressed = isReviewNeeded && resumed.isEmpty() && now - since >= PAUSE_TIME
        return resumed.map { it to MemoryAction.RESUME } + if (isPressed) selectVictims(now) else emptyList()
    }

    private fun selectVictims(now: MonotonicTime): List<Pair<MemoryAccount, MemoryAction>> {
        var excess = heldBytes - (bounds.totalBytes - bounds.reservedBytes)
        val isReserveUsed = heldBytes >= bounds.totalBytes
        return accounts.filter { releasable(it) > 0 && (isReserveUsed || it.heldBytes > SMALL_BYTES) }
            .sortedByDescending { it.heldBytes / (it.recentlyMoved(now) + USUAL_MOVEMENT) }
            .takeWhile { account -> (excess >= 0).also { excess -= releasable(account) } }
            .map { it to chooseEnd(it) }
    }

    /**
     * What ends with the connection. Not while a request runs, unless so much of its answer waits that its caller does
     * not read: a sound stream leaves little behind.
     */
    private fun releasable(account: MemoryAccount): Long =
        if (account[MemoryUse.RUNNING] > 0 && account[MemoryUse.UNWRITTEN] <= SMALL_BYTES) 0 else account.heldBytes

    private fun chooseEnd(account: MemoryAccount): MemoryAction {
        val isReceivingOnly = account[MemoryUse.UNWRITTEN] == 0L && account[MemoryUse.QUEUED] == 0L
        return if (isReceivingOnly && account[MemoryUse.INCOMING] > 0) {
            MemoryAction.REFUSE.also { refusedCount++ }
        } else {
            MemoryAction.CLOSE.also { closedCount++ }
        }
    }

    /** Holds the estimates of what is held. */
    companion object {
        /** The objects and the buffers of a connection without a request. */
        const val CONNECTION_BYTES = 8L * 1024

        /** More than an ordinary connection holds: a usual head with a body of a few kilobytes. */
        const val SMALL_BYTES = 48L * 1024

        /** In which ordinary load that came at once has passed. */
        val PAUSE_TIME = 250.milliseconds

        /** The movement below which connections are not told apart, in bytes. */
        private const val USUAL_MOVEMENT = 1024.0

        private const val HEAD_BYTES = 1024L

        /** The entry of a field, its name and its value as objects, and the entry of the copy that is sent on. */
        private const val FIELD_BYTES = 256L

        /** A field of a trailer has at least four bytes. */
        private const val TRAILER_FACTOR = 64L

        /** Estimates the memory of a head of [bytes] with [fields]. */
        fun estimateHead(bytes: Long, fields: Int): Long = HEAD_BYTES + bytes + fields * FIELD_BYTES

        /** Estimates the memory of [bytes] of a trailer, whose fields are not known. */
        fun estimateTrailer(bytes: Long): Long = bytes * TRAILER_FACTOR

        /** Estimates the memory of buffers with [bytes], which grow in powers of two. */
        fun estimateBuffer(bytes: Long): Long = 2 * bytes

        /** Estimates the memory of a body of [bytes], which is copied to be sent on. */
        fun estimateBody(bytes: Long): Long = 2 * bytes
    }
}
