package org.nutmegspring.membership

import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import kotlin.time.Duration

/** The lifecycle phase of an instance. */
@Serializable
public enum class InstancePhase {
    /** The instance has not obtained a current configuration yet. */
    JOINING,

    /** The instance admits requests. */
    READY,

    /** The instance is about to stop: it completes running requests and directs callers to other instances. */
    DRAINING,
}

/**
 * The state of an instance as this instance knows it; used for other instances and for itself.
 *
 * @property load utilization of its capacity; 1 is full, overload is above 1
 * @property evidenceAge upper bound on the time since it was last known to run, directly or via others
 * @property storeEvidenceAge upper bound on the time since it last read the head of the chain from the store
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
