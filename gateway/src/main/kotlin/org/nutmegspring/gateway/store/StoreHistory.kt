package org.nutmegspring.gateway.store

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration

/**
 * The era of the platform's store, as its answers tell it. Used on the event loop only.
 *
 * @param onChange called with the previous and the new era when the store has returned from an older copy
 */
class StoreHistory(private val clock: MonotonicClock, private val onChange: (StoreEra, StoreEra) -> Unit) {
    private val current = MutableStateFlow<StoreEra?>(null)
    private var seenSince = clock.now()

    /** The era of the newest answer, or null before the first. */
    val era: StateFlow<StoreEra?> = current.asStateFlow()

    /** Runs [block], but returns null as soon as another era begins. */
    suspend fun <T : Any> awaitWithinEra(block: suspend () -> T): T? {
        val from = current.value ?: return block()
        return coroutineScope {
            val work = async { block() }
            val change = launch { current.first { it != from } }
            select<T?> {
                work.onAwait { it }
                change.onJoin { null }
            }.also {
                work.cancel()
                change.cancel()
            }
        }
    }

    /** Records that an answer named [answered], null for none. Returns the era of the answer. */
    fun record(answered: StoreEra?): StoreEra {
        val known = current.value
        val era = answered ?: known ?: StoreEra.FIRST
        if (known == null || era > known) {
            current.value = era
            seenSince = clock.now()
            if (known != null) onChange(known, era)
        }
        return era
    }

    /** Records that another instance has seen [reported] for [age]. */
    fun recordReported(reported: StoreEra, age: Duration) {
        if (reported == current.value) seenSince = minOf(seenSince, clock.now() - age)
    }

    /** Returns for how long at least the era has lasted, or null before the first answer. */
    fun age(): Duration? = current.value?.let { clock.now() - seenSince }
}
