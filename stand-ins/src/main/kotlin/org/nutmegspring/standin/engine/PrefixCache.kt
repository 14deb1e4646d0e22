package org.nutmegspring.standin.engine

import org.nutmegspring.endpoint.CacheEvent
import kotlin.random.Random

/** The cached prompt pieces of an engine, least recently used first out. Some events are lost on purpose. */
class PrefixCache(
    private val maximumPieces: Int,
    private val eventLossShare: Double,
    private val random: Random,
) {
    private val pieces = LinkedHashSet<Long>()
    private val events = ArrayDeque<CacheEvent>()

    /** Returns how many of [prompt]'s pieces are cached from its start on, and caches all of them. */
    @Synchronized
    fun use(prompt: List<Long>): Int {
        val cached = prompt.takeWhile { it in pieces }.size
        add(prompt)
        return cached
    }

    /** Caches [added]. */
    @Synchronized
    fun add(added: List<Long>) {
        added.forEach { piece ->
            val known = pieces.remove(piece)
            pieces.add(piece)
            if (!known) publish(CacheEvent(piece, present = true))
        }
        while (pieces.size > maximumPieces) {
            val oldest = pieces.first()
            pieces.remove(oldest)
            publish(CacheEvent(oldest, present = false))
        }
    }

    /** Returns the cached pieces. */
    @Synchronized
    fun export(): List<Long> = pieces.toList()

    /** Returns the events since the last call. */
    @Synchronized
    fun takeEvents(): List<CacheEvent> = events.toList().also { events.clear() }

    private fun publish(event: CacheEvent) {
        if (random.nextDouble() < eventLossShare) return
        events.addLast(event)
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
    }

    private companion object {
        const val MAXIMUM_EVENTS = 10_000
    }
}
