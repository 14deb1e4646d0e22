package org.nutmegspring.node.membership

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import kotlin.time.Duration

/** The phase of an instance's life. */
enum class InstancePhase {
    /** It has no current configuration yet. */
    JOINING,

    /** It admits requests. */
    READY,

    /** It finishes what runs and admits nothing new. */
    DRAINING,
}

/**
 * What this instance knows of another, or of itself.
 *
 * @property evidenceAge how long ago, directly or through others, it was last known to run
 * @property storeEvidenceAge how long ago it last read the head of the configuration from the store
 */
data class MemberState(
    val id: InstanceId,
    val incarnation: Incarnation,
    val dataCentre: DataCentreId,
    val callerAddress: String,
    val innerAddress: String,
    val phase: InstancePhase,
    val load: Double,
    val revision: Revision,
    val evidenceAge: Duration,
    val storeEvidenceAge: Duration?,
)

/** The instances that this instance knows. */
interface Membership {
    /** This instance. */
    val self: MemberState

    /** The other instances that are believed to run, in the order of their ids. */
    fun peers(): List<MemberState>

    /** The ids that the platform last listed, this instance's included. */
    fun listed(): Set<InstanceId>
}
