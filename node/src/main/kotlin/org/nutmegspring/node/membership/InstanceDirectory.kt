package org.nutmegspring.node.membership

import io.ktor.server.response.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.membership.MemberState
import org.nutmegspring.membership.selectAddresses
import org.nutmegspring.node.entry.respondJson
import kotlin.random.Random
import kotlin.time.Duration

/** An instance that a caller may use. */
@Serializable
data class InstanceAddress(
    val id: InstanceId,
    val address: String,
    @SerialName("data_centre") val dataCentre: DataCentreId,
)

/** The instances that a caller may use, the first one first, and how long the caller may keep the answer. */
@Serializable
data class InstanceAddresses(
    val instances: List<InstanceAddress>,
    @SerialName("keep_for_seconds") val keepForSeconds: Long,
)

/** Tells callers which instances to use. */
class InstanceDirectory(
    private val membership: Membership,
    private val lifetime: Duration,
    private val random: Random = Random.Default,
) {
    /** Returns addresses for a caller near [dataCentre], by default this instance's own. */
    fun addresses(dataCentre: DataCentreId = membership.self.dataCentre): List<InstanceAddress> =
        selectAddresses(membership.peers() + membership.self, dataCentre, random).map(::addressOf)

    /** Returns the addresses of other instances for a caller that should not stay at this one. */
    fun others(): List<InstanceAddress> =
        selectAddresses(membership.peers(), membership.self.dataCentre, random).map(::addressOf)

    /** Adds `GET /v1/instances` to [route]. Callers may name their data centre in `data_centre`. */
    fun addTo(route: Route) {
        route.get("/v1/instances") {
            val dataCentre = call.request.queryParameters["data_centre"]?.let(::DataCentreId)
            val found = if (dataCentre == null) addresses() else addresses(dataCentre)
            val answer = InstanceAddresses(found, lifetime.inWholeSeconds)
            call.response.header("Cache-Control", "max-age=${lifetime.inWholeSeconds}")
            call.respondJson(InstanceAddresses.serializer(), answer)
        }
    }

    private fun addressOf(member: MemberState) = InstanceAddress(member.id, member.callerAddress, member.dataCentre)
}
