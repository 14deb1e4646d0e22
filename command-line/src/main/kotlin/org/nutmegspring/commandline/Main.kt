package org.nutmegspring.commandline

import kotlin.system.exitProcess

/** Runs the command line and ends the process with its exit code. */
fun main(arguments: Array<String>) {
    val signals = ProcessSignals()
    // Before all else, since a signal ends the process at once until then.
    if (arguments.isNotEmpty() && arguments[0] == GATEWAY_COMMAND) signals.install()
    exitProcess(CommandLine(System.out, System.err, signals).run(arguments.toList()).code)
}
