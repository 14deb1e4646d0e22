package org.nutmegspring.standin.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.nutmegspring.endpoint.EngineOrder
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.FencingSupport
import org.nutmegspring.identity.FencingToken
import kotlin.time.Duration

/** Accepts or rejects orders and carries them out. A change of the target takes the engine away for [changeTime]. */
class EngineOrders(
    initial: EngineTarget,
    private val fencing: FencingSupport,
    private val changeTime: Duration,
) {
    private var accepted: EngineOrder? = null
    private var changes = 0L

    /** The target that is in force or being changed to. */
    @Volatile
    var target: EngineTarget = initial
        private set

    /** Whether a change is under way. */
    @Volatile
    var changing: Boolean = false
        private set

    /** The sequence number of the last accepted order. */
    val acceptedSequence: Long
        @Synchronized get() = accepted?.sequence ?: 0

    /** The greatest fencing number of the accepted orders. */
    val acceptedFencing: FencingToken
        @Synchronized get() = accepted?.fencing ?: FencingToken(0)

    /** Accepts [order] unless it is fenced. Calls [onChange] when it changes the target. */
    @Synchronized
    fun accept(order: EngineOrder, scope: CoroutineScope, onChange: () -> Unit): Boolean {
        val last = accepted
        val stale = last != null && order.fencing < last.fencing
        if (stale && fencing == FencingSupport.CHECKED) return false
        accepted = order
        if (order.target == target) return true
        target = order.target
        changing = true
        onChange()
        val change = ++changes
        scope.launch {
            delay(changeTime)
            finish(change)
        }
        return true
    }

    @Synchronized
    private fun finish(change: Long) {
        if (change == changes) changing = false
    }
}
