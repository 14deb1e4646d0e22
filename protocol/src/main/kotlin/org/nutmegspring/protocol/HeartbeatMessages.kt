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
 * What the sender knows of one instance. Ages are in milliseconds at the time of sending; the two clocks involved are
 * never compared.
 *
 * @property beat a number that the instance increases with each change of what it tells of itself
 * @property ageMilliseconds at least how long ago the instance was known to run
 * @property storeAgeMilliseconds at least how long ago it read the head of the configuration, or null if unknown
 */
@Serializable
data class MemberDigest(
    @SerialName("i") val id: InstanceId,
    @SerialName("n") val incarnation: Incarnation,
    @SerialName("b") val beat: Long,
    @SerialName("d") val dataCentre: DataCentreId,
    @SerialName("c") val callerAddress: String,
    @SerialName("a") val innerAddress: String,
    @SerialName("p") val phase: InstancePhase,
    @SerialName("l") val load: Float,
    @SerialName("r") val revision: Revision,
    @SerialName("e") val ageMilliseconds: Int,
    @SerialName("s") val storeAgeMilliseconds: Int?,
)

/** Tells the receiver of the sender, and of endpoints that depart, and asks what the receiver knows. */
@Serializable
@SerialName("heartbeat")
data class HeartbeatRequest(val sender: MemberDigest, val departing: List<EndpointId>) : InnerRequest

/** What the receiver of a [HeartbeatRequest] knows, itself first. It may leave out some members. */
@Serializable
@SerialName("heartbeats")
data class HeartbeatReply(val members: List<MemberDigest>, val departing: List<EndpointId>) : InnerReply
