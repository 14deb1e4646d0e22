package org.nutmegspring.node.execution

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.node.configuration.ConfigurationView
import org.nutmegspring.node.entry.CallerAdmission
import org.nutmegspring.node.entry.apiErrorOf
import org.nutmegspring.node.entry.respondError
import org.nutmegspring.node.entry.respondJson

/**
 * The response body of `POST /v1/tickets`.
 *
 * @property ticket the value for the `Idempotency-Key` header
 * @property instance the only instance that may run the call; other instances forward it
 */
@Serializable
data class TicketAnswer(
    val ticket: String,
    val instance: InstanceId,
    @SerialName("expires_in_seconds") val expiresInSeconds: Long,
)

/** Serves `POST /v1/tickets`. A request without an API key gets a ticket for services that are open to all. */
class TicketRoutes(
    private val admission: CallerAdmission,
    private val configuration: ConfigurationView,
    private val execution: KeyedServiceExecution,
) {
    /** Registers the route under [route]. */
    fun addTo(route: Route) {
        route.post("/v1/tickets") {
            val isUnauthenticated = call.request.header(HttpHeaders.Authorization) == null
            val organisation = if (isUnauthenticated) {
                configuration.checkFreshness().mapLeft(::apiErrorOf).map { null }
            } else {
                admission.authenticate(call).map { it.organisation.id }
            }
            organisation.fold({ call.respondError(it) }) {
                val ticket = execution.issueTicket(it)
                val seconds = execution.remainingLifetime(ticket).inWholeSeconds
                val answer = TicketAnswer(ticket.key.value, ticket.instance, seconds)
                call.respondJson(TicketAnswer.serializer(), answer, HttpStatusCode.Created)
            }
        }
    }
}
