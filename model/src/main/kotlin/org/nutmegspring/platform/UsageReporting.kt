package org.nutmegspring.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingNumber
import org.nutmegspring.identity.OrganisationId

/** The usage of one organisation in one window. Tokens and executions are whole numbers. */
@Serializable
public data class UsageFigure(
    public val organisation: OrganisationId,
    public val promptTokens: Long,
    public val outputTokens: Long,
    public val executions: Long,
    public val lateFromWindow: Long? = null,
)

/** The figures of [window], counted in windows since the epoch, for one [shard] of the organisations. */
@Serializable
public data class UsageReport(
    public val window: Long,
    public val shard: Int,
    public val figures: List<UsageFigure>,
    public val fencing: FencingNumber,
)

/** The platform's interface that accepts usage reports. */
public interface UsageReporting {
    /** Reports a closed window. The same report may be sent any number of times. */
    public suspend fun report(report: UsageReport): Either<StoreFailure, Unit>
}
