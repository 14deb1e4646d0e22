package org.nutmegspring.commandline.administration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import kotlinx.serialization.json.Json
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.node.administration.KeyGrantRequest

/** What stands on the command line after `admin`. */
internal data class AdministrationArguments(
    val resource: String,
    val words: List<String>,
    val expected: Long?,
    val expires: Long?,
    val dryRun: Boolean,
)

/** Returns the call that [arguments] ask for, or what is wrong with them. [readFile] reads a file or `-`. */
internal fun administrationCall(
    arguments: AdministrationArguments,
    readFile: (String) -> String,
): Either<String, AdministrationCall> = when (arguments.resource) {
    in PART_RESOURCES -> partCall(arguments, readFile)
    "keys" -> keyCall(arguments)
    "instances" -> AdministrationCall(HttpMethod.Get, "instances").right()
    "sheet" -> sheetCall(arguments, readFile)
    else -> "unknown resource '${arguments.resource}'; name one of ${RESOURCES.joinToString()}".left()
}

/** What `admin` can be asked about. */
internal val RESOURCES = listOf("organisations", "keys", "services", "plans", "instances", "endpoints", "sheet", "wait")

private val PART_RESOURCES = setOf("organisations", "services", "plans", "endpoints")

private fun partCall(
    arguments: AdministrationArguments,
    readFile: (String) -> String,
): Either<String, AdministrationCall> {
    val path = arguments.resource
    val words = arguments.words
    val target = words.getOrNull(1)
    return when {
        words.isEmpty() || words == listOf("list") -> {
            AdministrationCall(HttpMethod.Get, path).right()
        }

        target == null -> {
            "name what to ${words.first()}".left()
        }

        words.first() == "show" -> {
            AdministrationCall(HttpMethod.Get, "$path/$target").right()
        }

        words.first() == "put" && words.size == PUT_WORDS -> {
            AdministrationCall(
                HttpMethod.Put,
                "$path/$target",
                readFile(words.last()),
                precondition(arguments.expected),
            ).right()
        }

        words.first() == "remove" && arguments.expected != null -> {
            AdministrationCall(HttpMethod.Delete, "$path/$target", headers = precondition(arguments.expected)).right()
        }

        else -> {
            "use: list, show ID, put ID FILE [--expected REVISION], remove ID --expected REVISION".left()
        }
    }
}

private fun precondition(expected: Long?): Map<String, String> =
    if (expected == null) mapOf(HttpHeaders.IfNoneMatch to "*") else mapOf(HttpHeaders.IfMatch to "\"$expected\"")

private fun keyCall(arguments: AdministrationArguments): Either<String, AdministrationCall> {
    val target = arguments.words.getOrNull(1)
    return when (arguments.words.firstOrNull()) {
        null, "list" -> AdministrationCall(HttpMethod.Get, "keys").right()
        "grant" -> target?.let { grantCall(it, arguments.expires).right() } ?: "name the organisation".left()
        "revoke" -> target?.let { AdministrationCall(HttpMethod.Delete, "keys/$it").right() } ?: "name the key".left()
        else -> "use: list, grant ORGANISATION [--expires SECONDS], revoke ID".left()
    }
}

private fun grantCall(organisation: String, expires: Long?): AdministrationCall {
    val request = KeyGrantRequest(OrganisationId(organisation), expires)
    return AdministrationCall(
        HttpMethod.Post,
        "keys",
        Json.encodeToString(KeyGrantRequest.serializer(), request),
    )
}

private fun sheetCall(
    arguments: AdministrationArguments,
    readFile: (String) -> String,
): Either<String, AdministrationCall> {
    val file = arguments.words.singleOrNull() ?: return "name the CSV file".left()
    val query = if (arguments.dryRun) "?dryRun=true" else ""
    return AdministrationCall(HttpMethod.Post, "sheet$query", readFile(file)).right()
}

private const val PUT_WORDS = 3
