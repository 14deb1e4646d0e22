package org.nutmegspring.node.membership

import kotlinx.coroutines.CompletableDeferred

/** Whether a request may begin. */
enum class Entrance {
    /** It may, and must be ended by [RequestGate.leave]. */
    OPEN,

    /** This instance is about to stop. */
    STOPPING,

    /** This instance runs as many requests as it can. */
    FULL,
}

/** Counts the requests that run, and turns new ones away when the instance stops or is full. */
class RequestGate(private val capacity: Int = REQUESTS_AT_FULL_LOAD) {
    private var running = 0
    private val empty = CompletableDeferred<Unit>()

    /** Whether new requests are turned away because the instance stops. */
    var stopping: Boolean = false
        @Synchronized get
        private set

    /** The share of the capacity in use. */
    val load: Double
        @Synchronized get() = running / capacity.toDouble()

    /** Begins a request when the result is [Entrance.OPEN]. */
    @Synchronized
    fun enter(): Entrance = when {
        stopping -> Entrance.STOPPING
        running >= capacity -> Entrance.FULL
        else -> Entrance.OPEN.also { running++ }
    }

    /** Ends a request. */
    @Synchronized
    fun leave() {
        running--
        if (stopping && running == 0) empty.complete(Unit)
    }

    /** Turns new requests away from now on. */
    @Synchronized
    fun stop() {
        stopping = true
        if (running == 0) empty.complete(Unit)
    }

    /** Waits until the last request has ended after [stop]. */
    suspend fun awaitEmpty() = empty.await()
}

private const val REQUESTS_AT_FULL_LOAD = 2_000
