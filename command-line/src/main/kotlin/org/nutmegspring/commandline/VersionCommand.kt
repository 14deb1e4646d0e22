package org.nutmegspring.commandline

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** Prints the version. */
@OptIn(ExperimentalCli::class)
class VersionCommand(private val context: CommandContext) : Subcommand("version", "Prints the version") {
    override fun execute() {
        val version = VersionCommand::class.java.`package`.implementationVersion ?: "development"
        context.out.println("$PROGRAM $version")
    }
}
