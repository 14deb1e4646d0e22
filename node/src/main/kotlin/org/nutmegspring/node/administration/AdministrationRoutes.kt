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
            PartKind.all.forEach { addPartRoutes(it) }
            addKeyRoutes()
            addStateRoutes()
            addSheetRoute()
        }
    }

    private fun Route.addPartRoutes(kind: PartKind) = route("/${kind.path}") {
        get {
            respondResult(PartListAnswer.serializer()) { administration.list(kind::includes).right() }
        }
        get("/{id}") {
            respondResult(PartAnswer.serializer()) {
                administration.findPart(kind.partWithId(pathId())).onRight { addEntityTag(call, it) }
            }
        }
        put("/{id}") {
            respondChange { operator ->
                either {
                    val precondition = parsePrecondition(call).bind()
                    val value = decodeBody(call.receiveText(), kind::decode).bind()
                    ensure(value.part == kind.partWithId(pathId())) { createIdMismatchError() }
                    administration.put(operator, value, precondition).bind()
                }
            }
        }
        delete("/{id}") {
            respondChange { operator ->
                either {
                    administration.remove(operator, kind.partWithId(pathId()), parsePrecondition(call).bind()).bind()
                }
            }
        }
    }

    private fun Route.addKeyRoutes() = route("/keys") {
        get {
            respondResult(PartListAnswer.serializer()) { administration.list { it is PartValue.KeyValue }.right() }
        }
        post {
            respondResult(KeyGrantAnswer.serializer(), { selectStatus(it.change) }) { operator ->
                either {
                    val request = decodeBody(call.receiveText()) {
                        administrationJson.decodeFromString(KeyGrantRequest.serializer(), it)
                    }.bind()
                    administration.grantKey(operator, request).bind()
                }
            }
        }
        delete("/{id}") {
            respondChange { operator -> administration.remove(operator, keyPartWithId(pathId()), Precondition.Any) }
        }
    }

    private fun Route.addStateRoutes() {
        get("/instances") {
            respondResult(InstanceListAnswer.serializer()) { InstanceListAnswer(describeInstances(membership)).right() }
        }
        get("/revisions/{id}") {
            respondResult(RevisionAnswer.serializer()) {
                val revision = pathId().toLongOrNull()
                if (revision == null) {
                    createBadRequestError("'${pathId()}' is not a revision").left()
                } else {
                    queryStatus(revision)
                }
            }
        }
    }

    private suspend fun queryStatus(revision: Long): Either<AdministrationError, RevisionAnswer> =
        administration.queryStatus(Revision(revision)).right()

    private fun Route.addSheetRoute() = post("/sheet") {
        val dryRun = call.request.queryParameters["dryRun"].toBoolean()
        respondResult(SheetAnswer.serializer(), { selectStatus(it.change) }) { operator ->
            administration.applySheet(operator, call.receiveText(), dryRun)
        }
    }

    private suspend fun RoutingContext.respondChange(
        action: suspend (OperatorName) -> Either<AdministrationError, RevisionAnswer>,
    ) = respondResult(RevisionAnswer.serializer(), ::selectStatus, action)

    private suspend fun <T> RoutingContext.respondResult(
        serializer: KSerializer<T>,
        status: (T) -> HttpStatusCode = { HttpStatusCode.OK },
        action: suspend (OperatorName) -> Either<AdministrationError, T>,
    ) {
        val operator = authentication.findOperator(call.request.header(HttpHeaders.Authorization))
        val result = if (operator == null) createUnauthorisedError().left() else action(operator)
        result.fold({ respondError(call, it) }, { value ->
            val text = administrationJson.encodeToString(serializer, value)
            call.respondText(text, ContentType.Application.Json, status(value))
        })
    }

    private fun RoutingContext.pathId(): String = call.parameters["id"].orEmpty()
}

private fun selectStatus(answer: RevisionAnswer?): HttpStatusCode =
    if (answer == null || answer.accepted) HttpStatusCode.OK else HttpStatusCode.Accepted

private fun addEntityTag(call: ApplicationCall, answer: PartAnswer) =
    call.response.header(HttpHeaders.ETag, "\"${answer.lastChangedAt}\"")

private fun parsePrecondition(call: ApplicationCall): Either<AdministrationError, Precondition> {
    val match = call.request.header(HttpHeaders.IfMatch)
    val noneMatch = call.request.header(HttpHeaders.IfNoneMatch)
    val revision = match?.trim('"')?.toLongOrNull()
    return when {
        noneMatch == "*" -> Precondition.Absent.right()

        revision != null -> Precondition.LastChangedAt(Revision(revision)).right()

        else -> createAdministrationError(
            PRECONDITION_REQUIRED,
            "precondition_required",
            "send If-Match with the revision of the last change of the part, or If-None-Match: * to create the part",
        ).left()
    }
}

private fun <T> decodeBody(text: String, decode: (String) -> T): Either<AdministrationError, T> = try {
    decode(text).right()
} catch (malformed: SerializationException) {
    createBadRequestError(malformed.message.orEmpty().lineSequence().first()).left()
} catch (malformed: IllegalArgumentException) {
    createBadRequestError(malformed.message.orEmpty().lineSequence().first()).left()
}

private fun createBadRequestError(message: String) =
    createAdministrationError(HttpStatusCode.BadRequest, "malformed", message)

private fun createIdMismatchError() = createBadRequestError("the id in the path differs from the id in the body")

private fun createUnauthorisedError() =
    createAdministrationError(HttpStatusCode.Unauthorized, "unauthorised", "the operator token is missing or invalid")

private suspend fun respondError(call: ApplicationCall, error: AdministrationError) {
    error.retryAfter?.let { call.response.header(HttpHeaders.RetryAfter, maxOf(1, it.inWholeSeconds)) }
    val body = AdministrationErrorBody(error.detail)
    val text = administrationJson.encodeToString(AdministrationErrorBody.serializer(), body)
    call.respondText(text, ContentType.Application.Json, error.status)
}

private val PRECONDITION_REQUIRED = HttpStatusCode(428, "Precondition Required")
