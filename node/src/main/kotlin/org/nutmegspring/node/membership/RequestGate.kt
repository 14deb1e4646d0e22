package org.nutmegspring.node.membership

import kotlinx.coroutines.CompletableDeferred

/** The decision on whether a request may begin. */
enum class GateDecision {
    /** The request may begin. [RequestGate.leave] must be called when it ends. */
    OPEN,

    /** The request is refused because the instance is stopping. */
    STOPPING,

    /** The request is refused because the instance is at its capacity. */
    FULL,
}

/** Limits the number of running requests to [capacity], and rejects all new requests once the instance is stopping. */
class RequestGate(private val capacity: Int = DEFAULT_CAPACITY) {
    private var running = 0
    private val empty = CompletableDeferred<Unit>()

    /** Whether new requests are refused because the instance is stopping. */
    var isStopping: Boolean = false
        @Synchronized get
        private set

    /** The utilization of the capacity, between 0 and 1. */
    val load: Double
        @Synchronized get() = running / capacity.toDouble()

    /** Admits a request if the result is [GateDecision.OPEN]. */
    @Synchronized
    fun tryEnter(): GateDecision = when {
        isStopping -> GateDecision.STOPPING
        running >= capacity -> GateDecision.FULL
        else -> GateDecision.OPEN.also { running++ }
    }

    /** Records the end of an admitted request. */
    @Synchronized
    fun leave() {
        running--
        if (isStopping && running == 0) empty.complete(Unit)
    }

    /** Refuses all new requests from now on. */
    @Synchronized
    fun stop() {
        isStopping = true
        if (running == 0) empty.complete(Unit)
    }

    /** Waits until [stop] has been called and no request is running. */
    suspend fun awaitEmpty() = empty.await()
}

private const val DEFAULT_CAPACITY = 2_000
