package org.nutmegspring.commandline

import kotlin.system.exitProcess

/** Runs the command line and ends the process with its exit code. */
fun main(arguments: Array<String>) {
    exitProcess(CommandLine(System.out, System.err).run(arguments.toList()).code)
}
