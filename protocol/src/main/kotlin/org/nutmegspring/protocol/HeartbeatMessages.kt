package org.nutmegspring.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.membership.InstancePhase

/**
 * What the sender knows about one instance. Ages are in milliseconds at the time of sending, so that the clocks of the
 * two instances are never compared.
 *
 * @property sequence a number that the instance increases with each change of its own report
 * @property ageMilliseconds an upper bound on the time since the instance was last known to run
 * @property storeAgeMilliseconds an upper bound on the time since it read the configuration head, or null if unknown
 */
@Serializable
data class MemberDigest(
    @SerialName("i") val id: InstanceId,
    @SerialName("n") val incarnation: Incarnation,
    @SerialName("b") val sequence: Long,
    @SerialName("d") val dataCentre: DataCentreId,
    @SerialName("c") val callerAddress: String,
    @SerialName("a") val innerAddress: String,
    @SerialName("p") val phase: InstancePhase,
    @SerialName("l") val load: Float,
    @SerialName("r") val revision: Revision,
    @SerialName("e") val ageMilliseconds: Int,
    @SerialName("s") val storeAgeMilliseconds: Int?,
)

/** Reports the sender and the departing endpoints known to it, and requests the members known to the receiver. */
@Serializable
@SerialName("heartbeat")
data class HeartbeatRequest(val sender: MemberDigest, val departing: List<EndpointId>) : InnerRequest

/** The members and departing endpoints known to the replier, itself first. Some members may be omitted. */
@Serializable
@SerialName("heartbeats")
data class HeartbeatReply(val members: List<MemberDigest>, val departing: List<EndpointId>) : InnerReply
