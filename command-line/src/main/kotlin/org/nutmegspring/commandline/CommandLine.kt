package org.nutmegspring.commandline

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.nutmegspring.node.observe.configureLogs
import org.nutmegspring.node.settings.LogFormat
import org.nutmegspring.node.settings.LogLevel
import org.nutmegspring.node.settings.LogSettings
import org.nutmegspring.node.settings.findNearestName
import java.io.PrintStream

/** Where commands print, what signals ask of them, and how they ended. */
class CommandContext(
    val out: PrintStream,
    val err: PrintStream,
    val signals: ProcessSignals = ProcessSignals(),
) {
    /** The exit code of the command that ran. */
    var exitCode: ExitCode = ExitCode.SUCCESS

    /** Prints [message] as an error and makes the command end as failed. */
    fun fail(message: String, code: ExitCode = ExitCode.FAILURE) {
        err.println("$PROGRAM: $message")
        exitCode = code
    }
}

/** The command line of the binary. */
@OptIn(ExperimentalCli::class)
class CommandLine(
    private val out: PrintStream,
    private val err: PrintStream,
    private val signals: ProcessSignals = ProcessSignals(),
) {
    /** Runs the command that [arguments] name. */
    fun run(arguments: List<String>): ExitCode {
        val context = CommandContext(out, err, signals)
        val commands = CommandProvider().commands(context)
        val names = commands.map { it.name }
        val first = arguments.firstOrNull()
        return when {
            first == null -> misuse("name one of the commands: ${names.joinToString()}")
            first in HELP_OPTIONS || first == "help" -> help(commands)
            first in VERSION_OPTIONS -> execute(listOf("version"), commands, context)
            first !in names -> misuse("unknown command '$first'${suggestion(first, names)}")
            else -> execute(arguments, commands, context)
        }
    }

    private fun execute(arguments: List<String>, commands: List<Subcommand>, context: CommandContext): ExitCode {
        configureLogs(LogSettings(LogFormat.TEXT, LogLevel.WARN))
        val parser = ArgParser(PROGRAM)
        commands.forEach { parser.subcommands(it) }
        commands.forEach { it.throwOnEnd() }
        parser.throwOnEnd()
        return try {
            parser.parse(arguments.toTypedArray())
            context.exitCode
        } catch (ended: ParsingEndedException) {
            if (ended.exitCode != 0) return misuse(ended.message.orEmpty().lineSequence().first())
            out.println(ended.message)
            ExitCode.SUCCESS
        }
    }

    private fun help(commands: List<Subcommand>): ExitCode {
        out.println("nutmegspring serves language-model and service traffic for many organisations.")
        out.println()
        out.println("Usage: $PROGRAM COMMAND [OPTIONS]")
        out.println()
        val width = commands.maxOf { it.name.length }
        commands.forEach { out.println("  ${it.name.padEnd(width)}  ${it.actionDescription}") }
        out.println()
        out.println("'$PROGRAM COMMAND --help' tells the options of a command.")
        return ExitCode.SUCCESS
    }

    private fun misuse(message: String): ExitCode {
        err.println("$PROGRAM: $message")
        err.println("'$PROGRAM --help' lists the commands.")
        return ExitCode.USAGE
    }
}

internal const val PROGRAM = "nutmegspring"
private val HELP_OPTIONS = setOf("-h", "--help")
private val VERSION_OPTIONS = setOf("-v", "--version")

/** Returns a hint to the element of [known] that is nearest to [given], or nothing. */
internal fun suggestion(given: String, known: List<String>): String =
    findNearestName(given, known.toSet())?.let { "; did you mean '$it'?" }.orEmpty()
