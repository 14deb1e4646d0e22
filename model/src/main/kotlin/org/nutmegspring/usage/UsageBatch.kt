package org.nutmegspring.usage

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.OrganisationId

/** The usage of one organisation. */
@Serializable
public data class UsageEntry(
    @SerialName("o") public val organisation: OrganisationId,
    @SerialName("p") public val promptTokens: Long,
    @SerialName("t") public val outputTokens: Long,
    @SerialName("e") public val executions: Long,
) {
    /** Returns the sum of two entries, which must belong to the same organisation. */
    public operator fun plus(other: UsageEntry): UsageEntry = UsageEntry(
        organisation = organisation,
        promptTokens = promptTokens + other.promptTokens,
        outputTokens = outputTokens + other.outputTokens,
        executions = executions + other.executions,
    )
}

/**
 * An immutable batch of usage that one process counted for the organisations of one shard in a part of a window.
 *
 * @property source the process that counted
 * @property number the sequence number among the batches of [source] and [shard], without gaps
 * @property window the window in which the work ended, by the wall clock of [source]; never decreases with [number]
 */
@Serializable
public data class UsageBatch(
    @SerialName("i") public val source: Incarnation,
    @SerialName("s") public val shard: Int,
    @SerialName("n") public val number: Long,
    @SerialName("w") public val window: Long,
    @SerialName("e") public val entries: List<UsageEntry>,
)
