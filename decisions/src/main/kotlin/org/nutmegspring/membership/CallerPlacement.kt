package org.nutmegspring.membership

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.DataCentreId

/** An instance that serves callers at [address] in [dataCentre], null when that is not known. */
data class CallerTarget(
    val address: String,
    val dataCentre: DataCentreId?,
)

/**
 * Chooses the instances that the callers of a data centre are sent to.
 *
 * Load pattern: callers keep an answer for seconds, some for three times as long as told, and take one of its addresses
 * at random. Traffic between data centres is paid for and takes longer, so callers stay in theirs while it has its
 * share of the instances. When it has lost many, others make up for them: those that remain would be overloaded.
 *
 * All instances give the same answer for a data centre, so that callers do not change connections with each answer.
 */
object CallerPlacement {
    /** The share of an even distribution below which instances of other data centres are added. */
    private const val SUFFICIENT_SHARE = 0.7

    /** Callers that find one address silent need another one. */
    private const val MINIMUM_TARGETS = 2

    /** Returns the addresses of at most [limit] of [ready] for callers in [dataCentre], null when that is not known. */
    fun choose(ready: List<CallerTarget>, dataCentre: DataCentreId?, limit: Int): List<String> {
        val (near, far) = ready.partition { it.dataCentre == dataCentre }
        val evenShare = maxOf(MINIMUM_TARGETS, ready.size / maxOf(1, ready.map { it.dataCentre }.distinct().size))
        val isSufficient = near.size >= MINIMUM_TARGETS && near.size >= evenShare * SUFFICIENT_SHARE
        val added = when {
            dataCentre == null || near.isEmpty() -> far
            isSufficient -> emptyList()
            else -> far.ranked(dataCentre).take(evenShare - near.size)
        }
        return (near.ranked(dataCentre) + added.ranked(dataCentre)).take(limit).map { it.address }
    }

    private fun List<CallerTarget>.ranked(dataCentre: DataCentreId?): List<CallerTarget> =
        sortedWith(compareBy({ weight(dataCentre, it) }, { it.address }))

    private fun weight(dataCentre: DataCentreId?, target: CallerTarget): Long =
        Hashing.komihash5_0().hashCharsToLong("${dataCentre?.value}\n${target.address}")
}
