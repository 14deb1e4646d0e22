package org.nutmegspring.quarantine

import org.nutmegspring.identity.PromptPartId
import org.nutmegspring.time.MonotonicTime

/** When answers to prompts with a part were last completed at this instance, for the [maximumSize] newest parts. */
internal class CompletionTimes(private val maximumSize: Int) {
    private val times = object : LinkedHashMap<PromptPartId, MonotonicTime>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<PromptPartId, MonotonicTime>?): Boolean = size > maximumSize
    }

    /** Records a completion. */
    fun record(part: PromptPartId, at: MonotonicTime) {
        times[part] = at
    }

    /** Returns when an answer to a prompt with [part] was last completed, or null if that is not known. */
    fun find(part: PromptPartId): MonotonicTime? = times[part]

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
