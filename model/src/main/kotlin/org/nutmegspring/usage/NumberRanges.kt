package org.nutmegspring.usage

import kotlinx.serialization.Serializable

/** The numbers from [first] to [last], both inclusive. */
@Serializable
public data class NumberRange(
    public val first: Long,
    public val last: Long,
)

/** A set of numbers, stored as sorted [ranges] that neither overlap nor adjoin. */
@Serializable
public data class NumberRanges(public val ranges: List<NumberRange> = emptyList()) {
    /** Returns whether the set contains [number]. */
    public operator fun contains(number: Long): Boolean {
        val index = ranges.binarySearch { range ->
            when {
                range.last < number -> -1
                range.first > number -> 1
                else -> 0
            }
        }
        return index >= 0
    }

    /** Returns a copy of the set with [numbers] added. */
    public fun with(numbers: Collection<Long>): NumberRanges {
        val all = (ranges + numbers.map { NumberRange(it, it) }).sortedBy { it.first }
        val merged = ArrayList<NumberRange>()
        for (range in all) {
            val last = merged.lastOrNull()
            if (last != null && range.first <= last.last + 1) {
                merged[merged.lastIndex] = NumberRange(last.first, maxOf(last.last, range.last))
            } else {
                merged.add(range)
            }
        }
        return NumberRanges(merged)
    }
}
