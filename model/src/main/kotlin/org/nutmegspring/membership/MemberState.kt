package org.nutmegspring.membership

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import kotlin.time.Duration

/** The phase of an instance's life. */
@Serializable
public enum class InstancePhase {
    /** It has no current configuration yet. */
    JOINING,

    /** It admits requests. */
    READY,

    /** It is about to stop: it finishes what runs, and callers are sent to others. */
    DRAINING,
}

/**
 * What this instance knows of another, or of itself.
 *
 * @property load the share of its capacity in use, from 0 to 1 or more
 * @property evidenceAge at least how long ago, directly or through others, it was last known to run
 * @property storeEvidenceAge at least how long ago it last read the head of the configuration from the store
 */
public data class MemberState(
    public val id: InstanceId,
    public val incarnation: Incarnation,
    public val dataCentre: DataCentreId,
    public val callerAddress: String,
    public val innerAddress: String,
    public val phase: InstancePhase,
    public val load: Double,
    public val revision: Revision,
    public val evidenceAge: Duration,
    public val storeEvidenceAge: Duration?,
)
