package org.nutmegspring.usage

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.OrganisationId

/** What one organisation used. Tokens and executions are whole numbers. */
@Serializable
public data class UsageEntry(
    @SerialName("o") public val organisation: OrganisationId,
    @SerialName("p") public val promptTokens: Long,
    @SerialName("t") public val outputTokens: Long,
    @SerialName("e") public val executions: Long,
) {
    /** Returns the sum of both entries, which belong to the same organisation. */
    public operator fun plus(other: UsageEntry): UsageEntry = UsageEntry(
        organisation = organisation,
        promptTokens = promptTokens + other.promptTokens,
        outputTokens = outputTokens + other.outputTokens,
        executions = executions + other.executions,
    )
}

/**
 * What one process counted in a part of a window for the organisations of one shard. It never changes.
 *
 * @property source the process that counted
 * @property number the position among the batches of [source] and [shard], without gaps
 * @property window the window in which the work ended, by the wall clock of [source]; it never decreases with [number]
 */
@Serializable
public data class UsageBatch(
    @SerialName("i") public val source: Incarnation,
    @SerialName("s") public val shard: Int,
    @SerialName("n") public val number: Long,
    @SerialName("w") public val window: Long,
    @SerialName("e") public val entries: List<UsageEntry>,
)
