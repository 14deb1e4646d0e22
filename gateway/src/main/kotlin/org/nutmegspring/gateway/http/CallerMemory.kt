package org.nutmegspring.gateway.http

import com.sun.management.UnixOperatingSystemMXBean
import org.nutmegspring.memory.MemoryAccount
import org.nutmegspring.memory.MemoryAction
import org.nutmegspring.memory.MemoryBounds
import org.nutmegspring.memory.MemoryBudget
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.systemMonotonicClock
import java.lang.management.ManagementFactory
import java.util.IdentityHashMap
import java.util.concurrent.TimeUnit

/** Applies a [MemoryBudget] to the connections of all servers on [loop]. */
class CallerMemory(
    internal val loop: EventLoop,
    bounds: MemoryBounds = defaultMemoryBounds(),
    private val clock: MonotonicClock = systemMonotonicClock(),
) {
    /** What is charged, and the decisions so far. */
    val budget = MemoryBudget(bounds)
    private val connections = IdentityHashMap<MemoryAccount, CallerConnection>()
    private var isReviewDue = false

    /** Opens the account of [connection], for which another one may be closed. */
    internal fun open(connection: CallerConnection): MemoryAccount {
        val account = budget.open(clock.now())
        connections[account] = connection
        budget.selectForNew(account)?.let {
            connections[it]?.abort()
            // At once, since the channel tells of its end only later, and the next one must not be chosen again.
            close(it)
        }
        return account
    }

    /** Releases what is charged to [account]. */
    internal fun close(account: MemoryAccount) {
        budget.close(account)
        connections -= account
    }

    /** Whether more may be read for [account]; if not, its connection is resumed later. */
    internal fun mayRead(account: MemoryAccount): Boolean {
        val may = budget.mayRead(account, clock.now())
        scheduleReview()
        return may
    }

    /** Records that [bytes] were read from the caller of [account] or taken by it. */
    internal fun recordMoved(account: MemoryAccount, bytes: Long) = account.recordMoved(bytes, clock.now())

    private fun scheduleReview() {
        if (isReviewDue || !budget.isReviewNeeded) return
        isReviewDue = true
        loop.group.schedule(::review, REVIEW_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun review() {
        isReviewDue = false
        for ((account, action) in budget.review(clock.now())) {
            val connection = connections[account] ?: continue
            when (action) {
                MemoryAction.RESUME -> connection.resume()
                MemoryAction.REFUSE -> connection.refuseForMemory()
                MemoryAction.CLOSE -> connection.abort()
            }
        }
        scheduleReview()
    }

    private companion object {
        const val REVIEW_INTERVAL_MILLISECONDS = 25L
    }
}

/**
 * Returns bounds derived from the heap and the descriptors of the process, unless [callerBytes] or [maximumConnections]
 * are given.
 */
fun defaultMemoryBounds(callerBytes: Long? = null, maximumConnections: Int? = null): MemoryBounds {
    val total = callerBytes ?: (Runtime.getRuntime().maxMemory() / HEAP_PARTS * CALLER_PARTS)
    val held = total / CONNECTION_PARTS / MemoryBudget.CONNECTION_BYTES
    return MemoryBounds(total, maximumConnections = maximumConnections ?: minOf(held, freeDescriptors()).toInt())
}

/** The descriptors that are not open yet, without a quarter for the store, endpoints and other instances. */
private fun freeDescriptors(): Long {
    val system = ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean ?: return Long.MAX_VALUE
    val maximum = system.maxFileDescriptorCount
    return (maximum - maximum / DESCRIPTOR_PARTS - system.openFileDescriptorCount).coerceAtLeast(1)
}

/** Three eighths of the heap: half of it may be copies outside of the heap, and answers take another eighth. */
private const val HEAP_PARTS = 8
private const val CALLER_PARTS = 3

/** Connections without a request take at most half of the budget. */
private const val CONNECTION_PARTS = 2
private const val DESCRIPTOR_PARTS = 4
