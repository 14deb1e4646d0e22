package org.nutmegspring.placement

import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PrefixDemandSpec {
    private val demand = PrefixDemand()
    private var now = MonotonicTime.ZERO + 1.seconds

    private fun record(prefix: Long?, ownTokens: Int = 1_000) {
        demand.record(prefix, ownTokens, now)
        now += 500.milliseconds
    }

    /** Guards against a rare prefix that is given several engines, since an instance sees two prompts a second. */
    @Test
    fun `one request is no share`() {
        record(1)
        assertEquals(0.0, demand.findShare(1))
        assertEquals(0.0, demand.findShare(2))
    }

    /** Guards against an instance that has just started and takes its first prompts for the whole demand. */
    @Test
    fun `the first requests are a small share`() {
        repeat(3) { record(1) }
        assertTrue(demand.findShare(1) < 0.05)
    }

    @Test
    fun `the share is one of tokens, prompts without a shared prefix included`() {
        repeat(100) {
            record(1, 3_000)
            record(null, 1_000)
        }
        assertTrue(demand.findShare(1) in 0.65..0.8, "${demand.findShare(1)}")
    }

    /** Guards against engines that are kept for a prefix which is no longer requested. */
    @Test
    fun `the share of a prefix that is no longer requested falls`() {
        repeat(100) { record(1) }
        val before = demand.findShare(1)
        repeat(240) { record(2) }
        assertTrue(demand.findShare(1) < before / 4, "${demand.findShare(1)} after $before")
    }

    /** Guards against memory that callers fill with ever new prefixes. */
    @Test
    fun `the number of prefixes is bounded, and frequent ones stay`() {
        for (prefix in 0L until 20_000) {
            demand.record(prefix, 1, now)
            demand.record(-1, 1, now)
        }
        assertTrue(demand.findShare(-1) > 0.4)
        assertEquals(0.0, demand.findShare(0))
    }
}
