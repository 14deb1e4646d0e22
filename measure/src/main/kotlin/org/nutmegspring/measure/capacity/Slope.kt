package org.nutmegspring.measure.capacity

import org.apache.commons.math3.stat.regression.SimpleRegression
import java.lang.management.ManagementFactory
import java.lang.ref.Reference

/** One measured point of a slope. */
data class SlopePoint(
    val size: Int,
    val value: Double,
)

/**
 * A straight line through measured points.
 *
 * @property name what was measured, with its unit in brackets
 * @property per what the size counts
 * @property fit the coefficient of determination; 1 for a perfect line
 */
class Slope private constructor(
    val name: String,
    val per: String,
    val points: List<SlopePoint>,
    private val regression: SimpleRegression,
) {
    /** The value of the line at size 0. */
    val intercept: Double get() = regression.intercept

    /** How much the value grows for each step of the size. */
    val growth: Double get() = regression.slope

    /** The coefficient of determination. */
    val fit: Double get() = if (regression.rSquare.isNaN()) 1.0 else regression.rSquare

    /** Returns the value of the line at [size], which is never below 0. */
    fun at(size: Int): Double = maxOf(0.0, regression.predict(size.toDouble()))

    /** Returns the figures of this slope for a report. */
    fun figures(): Map<String, Double> {
        val measured = points.associate { "$name at ${it.size} $per" to it.value }
        return measured + mapOf(
            "$name: slope for each of the $per" to growth,
            "$name: intercept" to intercept,
            "$name: fit" to fit,
        )
    }

    /** Makes slopes. */
    companion object {
        /** Returns the line through the values that [measure] gives at [sizes]. */
        fun of(name: String, per: String, sizes: List<Int>, measure: (Int) -> Double): Slope {
            val points = sizes.map { SlopePoint(it, measure(it)) }
            val regression = SimpleRegression().apply { points.forEach { addData(it.size.toDouble(), it.value) } }
            return Slope(name, per, points, regression)
        }
    }
}

/** Returns the heap that one object made by [make] takes, in bytes, measured on [copies] of it at once. */
internal fun heapBytes(copies: Int, make: () -> Any): Double {
    val memory = ManagementFactory.getMemoryMXBean()
    val trials = List(HEAP_TRIALS) {
        repeat(COLLECTIONS) { memory.gc() }
        val before = memory.heapMemoryUsage.used
        val made = List(copies) { make() }
        repeat(COLLECTIONS) { memory.gc() }
        val taken = memory.heapMemoryUsage.used - before
        Reference.reachabilityFence(made)
        taken.toDouble() / copies
    }
    return trials.sorted()[HEAP_TRIALS / 2]
}

/** Returns the median time of one of [repeats] calls of [work] over [trials] trials, in microseconds. */
internal fun medianMicroseconds(trials: Int, repeats: Int, work: (Int) -> Unit): Double {
    val times = List(trials) {
        val start = System.nanoTime()
        repeat(repeats, work)
        (System.nanoTime() - start) / NANOSECONDS_PER_MICROSECOND / repeats
    }
    return times.sorted()[trials / 2]
}

private const val HEAP_TRIALS = 5
private const val COLLECTIONS = 2
private const val NANOSECONDS_PER_MICROSECOND = 1e3
