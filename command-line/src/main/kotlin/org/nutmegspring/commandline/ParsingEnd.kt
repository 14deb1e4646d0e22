package org.nutmegspring.commandline

import kotlinx.cli.ArgParser

/** Thrown in place of the end of the process that kotlinx-cli brings about after help and wrong arguments. */
internal class ParsingEndedException(message: String, val exitCode: Int) : Exception(message)

/**
 * Makes the parser throw [ParsingEndedException] instead of ending the process.
 *
 * kotlinx-cli keeps the hook for this internal and ends the process with exit code 127 on wrong arguments.
 */
internal fun ArgParser.throwOnEnd() {
    val hook: (String, Int) -> Nothing = { message, exitCode -> throw ParsingEndedException(message, exitCode) }
    ArgParser::class.java.getMethod(HOOK_SETTER, Function2::class.java).invoke(this, hook)
}

private const val HOOK_SETTER = "setOutputAndTerminate\$kotlinx_cli"
