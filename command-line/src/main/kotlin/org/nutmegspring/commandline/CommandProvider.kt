package org.nutmegspring.commandline

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.nutmegspring.commandline.administration.AdminCommand
import org.nutmegspring.commandline.demo.DemoCommand
import org.nutmegspring.commandline.explain.ExplainCommand
import org.nutmegspring.commandline.measure.MeasureCommand
import org.nutmegspring.commandline.standin.StandInCommand

/** Lists the commands. */
class CommandProvider {
    /** Returns all commands in the order in which the help text lists them. */
    @OptIn(ExperimentalCli::class)
    fun commands(context: CommandContext): List<Subcommand> = listOf(
        ServeCommand(context),
        GatewayCommand(context),
        RehearseCommand(context),
        CheckCommand(context),
        ExplainCommand(context),
        AdminCommand(context),
        DemoCommand(context),
        StandInCommand(context),
        MeasureCommand(context),
        VersionCommand(context),
    )
}
