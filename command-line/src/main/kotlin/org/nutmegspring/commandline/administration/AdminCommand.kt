package org.nutmegspring.commandline.administration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.required
import kotlinx.cli.vararg
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.nutmegspring.commandline.CommandContext
import org.nutmegspring.commandline.ExitCode
import org.nutmegspring.commandline.suggestion
import org.nutmegspring.node.administration.AdministrationErrorBody
import org.nutmegspring.node.administration.RevisionAnswer
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Administers a running system through the API of one of its instances. */
@OptIn(ExperimentalCli::class)
class AdminCommand(private val context: CommandContext) : Subcommand("admin", "Administers a running system") {
    private val resource by argument(ArgType.String, "RESOURCE", RESOURCES.joinToString())
    private val words by argument(ArgType.String, "ACTION", "What to do; without it, list").vararg().optional()
    private val address by option(ArgType.String, "address", "a", "Address of an instance, host:port").required()
    private val tokenFile by option(ArgType.String, "token-file", "t", "File that holds the operator token").required()
    private val expected by option(
        ArgType.String,
        "expected",
        "e",
        "Revision at which the part was last changed; without it, put only creates",
    )
    private val expires by option(ArgType.String, "expires", "x", "End of a key in seconds since the epoch")
    private val dryRun by option(ArgType.Boolean, "dry-run", "n", "Only tell what a sheet would change").default(false)
    private val timeout by option(ArgType.Int, "timeout", description = "Longest wait in seconds")
        .default(WAIT_TIMEOUT_SECONDS)

    override fun execute() {
        if (resource !in RESOURCES) {
            return context.fail("unknown resource '$resource'${suggestion(resource, RESOURCES)}", ExitCode.USAGE)
        }
        try {
            AdministrationClient(address, File(tokenFile).readText().trim()).use { client ->
                runBlocking { if (resource == "wait") await(client) else call(client) }
            }
        } catch (failed: IOException) {
            context.fail("cannot ask $address: ${failed.message}")
        }
    }

    private suspend fun call(client: AdministrationClient) {
        val expectedRevision = number("expected", expected).fold({ return usage(it) }, { it })
        val expiry = number("expires", expires).fold({ return usage(it) }, { it })
        val arguments = AdministrationArguments(resource, words, expectedRevision, expiry, dryRun)
        administrationCall(arguments, ::readFile).fold(::usage) { print(client.execute(it)) }
    }

    private fun usage(message: String) = context.fail(message, ExitCode.USAGE)

    private suspend fun await(client: AdministrationClient) {
        val revision = words.singleOrNull()?.toLongOrNull() ?: return usage("name the revision to wait for")
        var last: AdministrationReply? = null
        val done = withTimeoutOrNull(timeout.seconds) {
            while (true) {
                val reply = client.execute(AdministrationCall(HttpMethod.Get, "revisions/$revision")).also { last = it }
                if (!reply.succeeded || answerOf(reply).inForce) return@withTimeoutOrNull reply
                delay(WAIT_INTERVAL)
            }
        }
        last?.let(::print)
        if (done == null) context.fail("revision $revision is not in force everywhere after $timeout s")
    }

    private fun answerOf(reply: AdministrationReply): RevisionAnswer =
        json.decodeFromString(RevisionAnswer.serializer(), reply.body)

    private fun print(reply: AdministrationReply) {
        if (reply.succeeded) {
            val element = json.decodeFromString(JsonElement.serializer(), reply.body)
            context.out.println(json.encodeToString(JsonElement.serializer(), element))
        } else {
            printError(reply)
        }
    }

    private fun printError(reply: AdministrationReply) {
        val error = runCatching { json.decodeFromString(AdministrationErrorBody.serializer(), reply.body).error }
            .getOrNull() ?: return context.fail("the instance answered ${reply.status}")
        context.fail("${error.message} (${error.code}, outcome ${error.outcome})")
        error.problems.forEach { problem ->
            val line = problem.line?.let { "line $it, " }.orEmpty()
            context.err.println("  $line${problem.field}: ${problem.message}")
        }
        error.current?.let { context.err.println("  it stands as ${it.value}") }
    }

    private fun readFile(name: String): String =
        if (name == "-") System.`in`.bufferedReader().readText() else File(name).readText()

    private fun number(name: String, text: String?): Either<String, Long?> = when {
        text == null -> null.right()
        else -> text.toLongOrNull()?.right() ?: "--$name must be a whole number".left()
    }

    private companion object {
        const val WAIT_TIMEOUT_SECONDS = 30
        val WAIT_INTERVAL = 500.milliseconds
        val json = Json {
            ignoreUnknownKeys = true
            prettyPrint = true
        }
    }
}
