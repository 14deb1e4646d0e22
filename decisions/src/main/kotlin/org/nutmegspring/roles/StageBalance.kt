package org.nutmegspring.roles

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.math.roundToInt

/**
 * An engine as the balance of roles sees it.
 *
 * @property isInterruptible whether the platform may take it away at short notice
 */
data class BalancedEngine(
    val id: EndpointId,
    val role: EngineRole,
    val dataCentre: DataCentreId,
    val isInterruptible: Boolean = false,
)

/** An engine and the role that it should take. */
data class RoleChange(
    val engine: EndpointId,
    val role: EngineRole,
)

/**
 * Decides which engines only generate.
 *
 * Load pattern: prompts of thousands of tokens for answers of a few. An engine reads prompts at full speed in the
 * prefill role and at a part of it beside generating, and what it reads there delays the outputs of prompts read
 * elsewhere. So most engines read, and a few generate for all. What is generated binds nothing until the share of
 * generating engines is very small; the least number covers the loss of one. Interruptible engines generate only when
 * there are too few others: a data centre loses them at once, and with them each answer that they generate.
 */
class StageBalance(
    private val generatorShare: Double = DEFAULT_GENERATOR_SHARE,
    private val leastGenerators: Int = DEFAULT_LEAST_GENERATORS,
) {
    /** Returns the changes that [engines] need, none while the number of generating engines is near its target. */
    fun changes(engines: List<BalancedEngine>): List<RoleChange> {
        if (engines.size <= leastGenerators) return emptyList()
        val target = maxOf(leastGenerators, (engines.size * generatorShare).roundToInt())
        val generators = engines.filter { it.role == EngineRole.DECODE }
        val readers = engines.filter { it.role == EngineRole.PREFILL }
        return when {
            generators.size > target + maxOf(1, (target * SLACK_SHARE).toInt()) -> {
                mostCrowded(generators, generators.size - target, interruptible = true).map {
                    RoleChange(it.id, EngineRole.PREFILL)
                }
            }

            generators.size < minOf(target, leastGenerators) -> {
                mostCrowded(readers, target - generators.size, interruptible = false).map {
                    RoleChange(it.id, EngineRole.DECODE)
                }
            }

            else -> {
                emptyList()
            }
        }
    }

    /** Takes [count] of [engines], [interruptible] ones first, each from the data centre that has the most of them. */
    private fun mostCrowded(engines: List<BalancedEngine>, count: Int, interruptible: Boolean): List<BalancedEngine> {
        val left = engines.sortedBy { it.id }.toMutableList()
        return List(minOf(count, engines.size)) {
            val preferred = left.filter { it.isInterruptible == interruptible }.ifEmpty { left }
            val crowded = preferred.groupingBy { engine -> engine.dataCentre }.eachCount().maxBy { it.value }.key
            preferred.first { it.dataCentre == crowded }.also(left::remove)
        }
    }

    private companion object {
        /** Fetching a prompt takes an engine's link about a tenth of the time that reading it takes an engine. */
        const val DEFAULT_GENERATOR_SHARE = 0.2
        const val DEFAULT_LEAST_GENERATORS = 3

        /**
         * The part by which generating engines may exceed their target. An order takes an engine away for seconds, and
         * readers that a data centre lost mostly come back within a few times as long.
         */
        const val SLACK_SHARE = 0.5
    }
}
