package org.nutmegspring.commandline.measure

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import org.nutmegspring.commandline.CommandContext
import org.nutmegspring.commandline.ExitCode
import org.nutmegspring.commandline.suggestion
import org.nutmegspring.measure.MeasureProvider
import org.nutmegspring.measure.MeasureRequest
import org.nutmegspring.measure.report.MeasureReport
import org.nutmegspring.node.observe.configureLogs
import org.nutmegspring.node.settings.LogFormat
import org.nutmegspring.node.settings.LogLevel
import org.nutmegspring.node.settings.LogSettings

/** Runs a measure and prints its report. */
@OptIn(ExperimentalCli::class)
class MeasureCommand(private val context: CommandContext) :
    Subcommand("measure", "Runs a measure: ${MeasureProvider().measures.joinToString { it.name }}") {
    private val measures = MeasureProvider()
    private val measureName by argument(ArgType.String, "NAME", "Name of the measure")
    private val seed by option(ArgType.String, "seed", description = "Seed, any whole number").default("1")
    private val steps by option(ArgType.Int, "steps", description = "Steps, when the measure counts them")
    private val json by option(ArgType.Boolean, "json", description = "Print one JSON object").default(false)

    override fun execute() {
        val measure = measures.find(measureName)
            ?: return context.fail("no measure '$measureName'${hint()}", ExitCode.USAGE)
        val seedNumber = seed.toLongOrNull()
            ?: return context.fail("the seed '$seed' is not a whole number", ExitCode.USAGE)
        configureLogs(LogSettings(LogFormat.TEXT, LogLevel.ERROR))
        val report = measure.run(MeasureRequest(seedNumber, steps)) { context.err.println(it) }
        context.out.println(if (json) JSON.encodeToString(MeasureReport.serializer(), report) else table(report))
        if (report.goals.any { !it.met }) context.exitCode = ExitCode.GOAL_MISSED
    }

    private fun hint(): String {
        val names = measures.measures.map { it.name }
        return suggestion(measureName, names) + "; measures: ${names.joinToString()}"
    }

    private companion object {
        val JSON = Json { encodeDefaults = true }
    }
}
