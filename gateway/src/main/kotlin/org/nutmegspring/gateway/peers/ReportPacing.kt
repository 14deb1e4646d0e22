package org.nutmegspring.gateway.peers

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides how often reports are sent and how much one holds, so that they take a bounded share of the link, which also
 * carries requests and the answers of the store.
 *
 * @param linkMegabitsPerSecond the bandwidth of the link
 */
class ReportPacing(linkMegabitsPerSecond: Double) {
    private val bytesPerSecond = linkMegabitsPerSecond * BYTES_PER_MEGABIT * LINK_SHARE

    /** Returns the time until the next reports after [bytes] were sent to [peers] instances. */
    fun computeInterval(bytes: Long, peers: Int): Duration =
        maxOf(MINIMUM_INTERVAL, INTERVAL_PER_PEER * peers, 1.seconds * (bytes / bytesPerSecond))

    /** Returns how many entries a report to [peers] instances may hold. */
    fun computeEntries(peers: Int): ReportEntries {
        val entries = bytesPerSecond * TARGET_INTERVAL_SECONDS / maxOf(1, peers) / BYTES_PER_ENTRY
        val total = entries.coerceIn(MINIMUM_ENTRIES, MAXIMUM_ENTRIES)
        return ReportEntries(
            charges = MAXIMUM_CHARGES,
            loads = (total * LOADS_SHARE).toInt(),
            prefills = (total * PREFILLS_SHARE).toInt(),
            endpoints = (total * ENDPOINTS_SHARE).toInt(),
            limits = maxOf(MINIMUM_LIMITS, (total * LIMITS_SHARE).toInt()),
            promptParts = maxOf(MINIMUM_PROMPT_PARTS, (total * PROMPT_PARTS_SHARE).toInt()),
        )
    }

    private companion object {
        const val BYTES_PER_MEGABIT = 125_000

        /** On a link of 7 Mbit/s this is 13 KB/s, below the 16 KB/s that an instance may spend on control. */
        const val LINK_SHARE = 0.015

        /** Loads change within tens of milliseconds, but each report costs processing time at sender and receivers. */
        val MINIMUM_INTERVAL = 100.milliseconds
        val INTERVAL_PER_PEER = 10.milliseconds
        const val TARGET_INTERVAL_SECONDS = 1.0
        const val BYTES_PER_ENTRY = 25
        const val MINIMUM_ENTRIES = 12.0
        const val MAXIMUM_ENTRIES = 100.0
        const val LOADS_SHARE = 0.34
        const val PREFILLS_SHARE = 0.17
        const val ENDPOINTS_SHARE = 0.34

        /** An entry takes about as much as four of the others. */
        const val PROMPT_PARTS_SHARE = 0.08
        const val MINIMUM_PROMPT_PARTS = 2
        const val LIMITS_SHARE = 0.08
        const val MINIMUM_LIMITS = 2

        /** Quotas are exact only while the charges of all organisations fit. */
        const val MAXIMUM_CHARGES = 48
    }
}

/**
 * How many entries of each kind a report may hold.
 *
 * @property endpoints the endpoints that do not answer the sender
 * @property promptParts the prompt parts under which engines crashed
 * @property limits the limits that endpoints named
 */
data class ReportEntries(
    val charges: Int,
    val loads: Int,
    val prefills: Int,
    val endpoints: Int,
    val promptParts: Int,
    val limits: Int,
)
