package org.nutmegspring.commandline.explain

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.cli.vararg
import org.nutmegspring.commandline.CommandContext
import org.nutmegspring.commandline.ExitCode
import java.io.File
import java.time.Instant

/** Tells what happened to one request, from the logs of gateways. */
@OptIn(ExperimentalCli::class)
class ExplainCommand(private val context: CommandContext) :
    Subcommand("explain", "Tells what happened to one request, from the logs of gateways") {
    private val request by option(ArgType.String, "request", description = "Id of the request").required()
    private val files by argument(ArgType.String, "FILE", "Logs of the instances").vararg()

    override fun execute() {
        val missing = files.filter { !File(it).canRead() }
        if (missing.isNotEmpty()) return context.fail("cannot read ${missing.joinToString()}", ExitCode.USAGE)
        val log = files.flatMap { name ->
            File(name).useLines { lines -> lines.mapNotNull { readDecisionLine(it, File(name).name) }.toList() }
        }
        val story = storyOf(request, log)
            ?: return context.fail("no line of request $request in ${files.joinToString()}")
        print(story)
    }

    private fun print(story: RequestStory) {
        context.out.println("Believed when it ended:")
        story.beliefs.forEach(::print)
        context.out.println("Request $request:")
        story.lines.forEach(::print)
        val failing = story.failuresNearby.filterValues { it > 0 }
        if (failing.isEmpty()) return
        context.out.println("Its endpoints failed other requests at that time:")
        failing.forEach { (endpoint, count) -> context.out.println("  $endpoint: $count") }
    }

    private fun print(line: DecisionLine) {
        val fields = line.fields.filterKeys { it != "request" }.map { (name, value) -> "$name=$value" }
        val at = Instant.ofEpochMilli(line.atMilliseconds)
        context.out.println("  $at ${line.instance} ${line.event}: ${fields.joinToString(", ")}")
    }
}
