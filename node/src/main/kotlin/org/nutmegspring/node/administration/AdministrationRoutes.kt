package org.nutmegspring.node.administration

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.nutmegspring.configuration.OperatorName
import org.nutmegspring.configuration.PartValue
import org.nutmegspring.configuration.Precondition
import org.nutmegspring.identity.Revision
import org.nutmegspring.node.configuration.ConfigurationRuntime
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.node.settings.OperatorSettings

/** The routes of the administration API under `/admin/v1`. */
class AdministrationRoutes(
    runtime: ConfigurationRuntime,
    private val membership: Membership,
    operators: List<OperatorSettings>,
) {
    private val administration = ConfigurationAdministration(runtime)
    private val authentication = OperatorAuthentication(operators)

    /** Adds the routes to [parent]. */
    fun addTo(parent: Route): Unit = with(parent) {
        route("/admin/v1") {
            PartKind.all.forEach { partRoutes(it) }
            keyRoutes()
            stateRoutes()
            sheetRoute()
        }
    }

    private fun Route.partRoutes(kind: PartKind) = route("/${kind.path}") {
        get {
            answer(PartListAnswer.serializer()) { administration.list(kind::includes).right() }
        }
        get("/{id}") {
            answer(PartAnswer.serializer()) { administration.show(kind.part(id())).onRight { tag(call, it) } }
        }
        put("/{id}") {
            answerChange { operator ->
                either {
                    val expectation = expectation(call).bind()
                    val value = decode(call.receiveText(), kind::decode).bind()
                    ensure(value.part == kind.part(id())) { otherId() }
                    administration.put(operator, value, expectation).bind()
                }
            }
        }
        delete("/{id}") {
            answerChange { operator ->
                either { administration.remove(operator, kind.part(id()), expectation(call).bind()).bind() }
            }
        }
    }

    private fun Route.keyRoutes() = route("/keys") {
        get {
            answer(PartListAnswer.serializer()) { administration.list { it is PartValue.KeyValue }.right() }
        }
        post {
            answer(KeyGrantAnswer.serializer(), { statusOf(it.change) }) { operator ->
                either {
                    val request = decode(call.receiveText()) {
                        administrationJson.decodeFromString(KeyGrantRequest.serializer(), it)
                    }.bind()
                    administration.grant(operator, request).bind()
                }
            }
        }
        delete("/{id}") {
            answerChange { operator -> administration.remove(operator, keyPart(id()), Precondition.Any) }
        }
    }

    private fun Route.stateRoutes() {
        get("/instances") {
            answer(InstanceListAnswer.serializer()) { InstanceListAnswer(describeInstances(membership)).right() }
        }
        get("/revisions/{id}") {
            answer(RevisionAnswer.serializer()) {
                val revision = id().toLongOrNull()
                if (revision == null) badRequest("'${id()}' is not a revision").left() else status(revision)
            }
        }
    }

    private suspend fun status(revision: Long): Either<AdministrationError, RevisionAnswer> =
        administration.status(Revision(revision)).right()

    private fun Route.sheetRoute() = post("/sheet") {
        val dryRun = call.request.queryParameters["dryRun"].toBoolean()
        answer(SheetAnswer.serializer(), { statusOf(it.change) }) { operator ->
            administration.sheet(operator, call.receiveText(), dryRun)
        }
    }

    private suspend fun RoutingContext.answerChange(
        action: suspend (OperatorName) -> Either<AdministrationError, RevisionAnswer>,
    ) = answer(RevisionAnswer.serializer(), ::statusOf, action)

    private suspend fun <T> RoutingContext.answer(
        serializer: KSerializer<T>,
        status: (T) -> HttpStatusCode = { HttpStatusCode.OK },
        action: suspend (OperatorName) -> Either<AdministrationError, T>,
    ) {
        val operator = authentication.operatorOf(call.request.header(HttpHeaders.Authorization))
        val result = if (operator == null) unauthorised().left() else action(operator)
        result.fold({ respond(call, it) }, { value ->
            val text = administrationJson.encodeToString(serializer, value)
            call.respondText(text, ContentType.Application.Json, status(value))
        })
    }

    private fun RoutingContext.id(): String = call.parameters["id"].orEmpty()
}

private fun statusOf(answer: RevisionAnswer?): HttpStatusCode =
    if (answer == null || answer.accepted) HttpStatusCode.OK else HttpStatusCode.Accepted

private fun tag(call: ApplicationCall, answer: PartAnswer) =
    call.response.header(HttpHeaders.ETag, "\"${answer.lastChangedAt}\"")

private fun expectation(call: ApplicationCall): Either<AdministrationError, Precondition> {
    val match = call.request.header(HttpHeaders.IfMatch)
    val noneMatch = call.request.header(HttpHeaders.IfNoneMatch)
    val revision = match?.trim('"')?.toLongOrNull()
    return when {
        noneMatch == "*" -> Precondition.Absent.right()

        revision != null -> Precondition.LastChangedAt(Revision(revision)).right()

        else -> administrationError(
            PRECONDITION_REQUIRED,
            "precondition_required",
            "send If-Match with the revision at which the part was last changed, or If-None-Match: * to create it",
        ).left()
    }
}

private fun <T> decode(text: String, decode: (String) -> T): Either<AdministrationError, T> = try {
    decode(text).right()
} catch (malformed: SerializationException) {
    badRequest(malformed.message.orEmpty().lineSequence().first()).left()
} catch (malformed: IllegalArgumentException) {
    badRequest(malformed.message.orEmpty().lineSequence().first()).left()
}

private fun badRequest(message: String) = administrationError(HttpStatusCode.BadRequest, "malformed", message)

private fun otherId() = badRequest("the id in the path differs from the id in the body")

private fun unauthorised() =
    administrationError(HttpStatusCode.Unauthorized, "unauthorised", "the operator token is missing or not valid")

private suspend fun respond(call: ApplicationCall, error: AdministrationError) {
    error.retryAfter?.let { call.response.header(HttpHeaders.RetryAfter, maxOf(1, it.inWholeSeconds)) }
    val body = AdministrationErrorBody(error.detail)
    val text = administrationJson.encodeToString(AdministrationErrorBody.serializer(), body)
    call.respondText(text, ContentType.Application.Json, error.status)
}

private val PRECONDITION_REQUIRED = HttpStatusCode(428, "Precondition Required")
