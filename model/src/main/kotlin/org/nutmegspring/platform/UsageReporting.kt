package org.nutmegspring.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.OrganisationId

/**
 * The usage of one organisation in one window.
 *
 * @property lateFromWindow the earlier window in which this usage occurred, when it is reported late; null otherwise
 */
@Serializable
public data class UsageFigure(
    public val organisation: OrganisationId,
    public val promptTokens: Long,
    public val outputTokens: Long,
    public val executions: Long,
    public val lateFromWindow: Long? = null,
)

/** The usage in one [window], numbered from the epoch, of the organisations in one [shard]. */
@Serializable
public data class UsageReport(
    public val window: Long,
    public val shard: Int,
    public val figures: List<UsageFigure>,
    public val fencing: FencingToken,
)

/** The platform API that accepts usage reports. */
public interface UsageReporting {
    /** Reports a closed window. The call is idempotent. */
    public suspend fun report(report: UsageReport): Either<StoreFailure, Unit>
}
