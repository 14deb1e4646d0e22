package org.nutmegspring.roles

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.math.roundToInt

/**
 * An engine as input of the [RoleBalancer].
 *
 * @property isInterruptible whether the platform may take it away at short notice
 * @property slots the maximum number of requests that it runs concurrently
 */
data class BalancedEngine(
    val id: EndpointId,
    val role: EngineRole,
    val dataCentre: DataCentreId,
    val isInterruptible: Boolean = false,
    val slots: Int = MANY_SLOTS,
)

/** As many as outputs seldom need. */
private const val MANY_SLOTS = 64

/** An engine and the role that it should take. */
data class RoleChange(
    val engine: EndpointId,
    val role: EngineRole,
)

/**
 * Decides which engines take the decode role.
 *
 * Load pattern: prompts of thousands of tokens with outputs of a few tokens. An engine prefills at full speed in the
 * prefill role and at a part of it while it also decodes, and a prefill there delays the outputs of prompts that other
 * engines prefilled. So most engines prefill, and a few decode for all. Decoding becomes the bottleneck only when the
 * share of decode engines is very small; the minimum number covers the loss of one. Where engines have few slots, each
 * output holds one of them several times as long as a prompt occupies a prefill engine, and more engines decode.
 * Interruptible engines decode only
 * when there are too few others: a data centre loses them all at once, and with them every output in progress there.
 */
class RoleBalancer(
    private val decodeShare: Double = DEFAULT_DECODE_SHARE,
    private val minDecodeEngines: Int = DEFAULT_MIN_DECODE_ENGINES,
) {
    /** Returns the role changes that [engines] need, none while the number of decode engines is near its target. */
    fun planChanges(engines: List<BalancedEngine>): List<RoleChange> {
        if (engines.size <= minDecodeEngines) return emptyList()
        val slotTarget = (engines.size * computeSlotShare(engines)).roundToInt()
        val target = maxOf(minDecodeEngines, (engines.size * decodeShare).roundToInt(), slotTarget)
        val minimum = maxOf(minOf(target, minDecodeEngines), (slotTarget * MINIMUM_SLOT_SHARE).toInt())
        val decodeEngines = engines.filter { it.role == EngineRole.DECODE }
        val prefillEngines = engines.filter { it.role == EngineRole.PREFILL }
        return when {
            decodeEngines.size > target + maxOf(1, (target * EXCESS_TOLERANCE).toInt()) -> {
                selectEngines(decodeEngines, decodeEngines.size - target, preferInterruptible = true).map {
                    RoleChange(it.id, EngineRole.PREFILL)
                }
            }

            decodeEngines.size < minimum -> {
                selectEngines(prefillEngines, target - decodeEngines.size, preferInterruptible = false).map {
                    RoleChange(it.id, EngineRole.DECODE)
                }
            }

            else -> {
                emptyList()
            }
        }
    }

    /**
     * Returns the smallest and the greatest share of engines with [slots] that may decode without a planned change, in
     * a fleet that is many times as large as the minimum number of decode engines.
     */
    fun findDecodeShares(slots: Int): ClosedFloatingPointRange<Double> {
        val slotShare = computeSlotShare(maxOf(1, slots).toDouble())
        return slotShare * MINIMUM_SLOT_SHARE..maxOf(decodeShare, slotShare) * (1 + EXCESS_TOLERANCE)
    }

    private fun computeSlotShare(engines: List<BalancedEngine>): Double =
        computeSlotShare(engines.map { maxOf(1, it.slots) }.average())

    /** Returns the share of engines that have to decode so that prompts and outputs find as much capacity each. */
    private fun computeSlotShare(slots: Double): Double {
        val outputSeconds = SECONDS_PER_OUTPUT / slots
        return outputSeconds / (outputSeconds + SECONDS_PER_PROMPT)
    }

    /**
     * Returns [count] of [engines], each from the data centre that has the most left. Interruptible engines come first
     * with [preferInterruptible], the others first without it.
     */
    private fun selectEngines(
        engines: List<BalancedEngine>,
        count: Int,
        preferInterruptible: Boolean,
    ): List<BalancedEngine> {
        val remaining = engines.sortedBy { it.id }.toMutableList()
        return List(minOf(count, engines.size)) {
            val preferred = remaining.filter { it.isInterruptible == preferInterruptible }.ifEmpty { remaining }
            val largest = preferred.groupingBy { engine -> engine.dataCentre }.eachCount().maxBy { it.value }.key
            preferred.first { it.dataCentre == largest }.also(remaining::remove)
        }
    }

    private companion object {
        /** Transferring a prompt's KV cache occupies a link for about a tenth of the time that its prefill takes. */
        const val DEFAULT_DECODE_SHARE = 0.2
        const val DEFAULT_MIN_DECODE_ENGINES = 3

        /** How long an output of some tens of tokens holds a slot. */
        const val SECONDS_PER_OUTPUT = 0.25

        /** How long a prompt occupies a prefill engine, with its shared prefix mostly cached. */
        const val SECONDS_PER_PROMPT = 0.06

        /** The share of the engines wanted for their slots below which others change their role. */
        const val MINIMUM_SLOT_SHARE = 0.7

        /**
         * The share of the target by which decode engines may exceed it. A role change takes an engine out of service
         * for seconds, and prefill engines that a data centre lost mostly return within a few times as long.
         */
        const val EXCESS_TOLERANCE = 0.5
    }
}
