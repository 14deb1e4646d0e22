package org.nutmegspring.commandline

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.nutmegspring.node.settings.SettingsLoader
import java.io.File

/** Checks a settings file. */
@OptIn(ExperimentalCli::class)
class CheckCommand(private val context: CommandContext) : Subcommand("check", "Checks a settings file") {
    private val file by argument(ArgType.String, "FILE", "Settings file in YAML")

    override fun execute() = SettingsLoader().load(File(file)).fold(
        { problems ->
            problems.forEach { context.err.println(it) }
            context.exitCode = ExitCode.USAGE
        },
        { context.out.println("$file: ok") },
    )
}
