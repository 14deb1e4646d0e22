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

/** The address of an instance that a caller can use. */
@Serializable
data class InstanceAddress(
    val id: InstanceId,
    val address: String,
    @SerialName("data_centre") val dataCentre: DataCentreId,
)

/** The instances that a caller can use, in order of preference, and how long the caller may cache the answer. */
@Serializable
data class InstanceAddresses(
    val instances: List<InstanceAddress>,
    @SerialName("keep_for_seconds") val keepForSeconds: Long,
)

/**
 * Provides callers with the addresses of instances to use.
 *
 * @property addressLifetime how long a caller may cache the addresses
 */
class InstanceDirectory(
    private val membership: Membership,
    private val addressLifetime: Duration,
    private val random: Random = Random.Default,
) {
    /** Returns addresses for a caller near [dataCentre], which defaults to that of this instance. */
    fun selectInstances(dataCentre: DataCentreId = membership.self.dataCentre): List<InstanceAddress> =
        selectAddresses(membership.peers() + membership.self, dataCentre, random).map(::createAddress)

    /** Returns addresses of other instances for a caller that should leave this one. */
    fun selectOtherInstances(): List<InstanceAddress> =
        selectAddresses(membership.peers(), membership.self.dataCentre, random).map(::createAddress)

    /** Adds `GET /v1/instances` to [route]. Its optional parameter `data_centre` names the caller's data centre. */
    fun addTo(route: Route) {
        route.get("/v1/instances") {
            val dataCentre = call.request.queryParameters["data_centre"]?.let(::DataCentreId)
            val found = if (dataCentre == null) selectInstances() else selectInstances(dataCentre)
            val answer = InstanceAddresses(found, addressLifetime.inWholeSeconds)
            call.response.header("Cache-Control", "max-age=${addressLifetime.inWholeSeconds}")
            call.respondJson(InstanceAddresses.serializer(), answer)
        }
    }

    private fun createAddress(member: MemberState) = InstanceAddress(member.id, member.callerAddress, member.dataCentre)
}
