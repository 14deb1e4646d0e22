package org.nutmegspring.commandline.demo

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import org.nutmegspring.commandline.CommandContext
import org.nutmegspring.commandline.ExitCode
import org.nutmegspring.commandline.waitForStop
import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.measure.fleet.LocalFleet
import org.nutmegspring.measure.fleet.LocalFleetSettings

/** Runs a small fleet in this process and shows how to call it. */
@OptIn(ExperimentalCli::class)
class DemoCommand(private val context: CommandContext) :
    Subcommand("demo", "Runs a small fleet in one process and shows a first call") {
    private val once by option(ArgType.Boolean, "once", description = "Make the calls, print the answers and end")
        .default(false)

    override fun execute() {
        val fleet = LocalFleet(LocalFleetSettings(rate = RATE))
        if (once) runOnce(fleet) else stay(fleet)
    }

    private fun runOnce(fleet: LocalFleet) = fleet.use {
        val good = DemoCalls(fleet.instances.first().callerAddress, fleet.key, context.out).use { calls ->
            runBlocking { calls.run() }
        }
        if (!good) context.exitCode = ExitCode.FAILURE
    }

    private fun stay(fleet: LocalFleet) {
        val address = fleet.instances.first().callerAddress
        context.out.println("instances: ${fleet.instances.joinToString { "http://${it.callerAddress}" }}")
        context.out.println("key: ${fleet.key}")
        context.out.println("operator token: ${fleet.operatorToken}")
        context.out.println()
        context.out.println("curl -N http://$address/v1/chat/completions \\")
        context.out.println("  -H 'Authorization: Bearer ${fleet.key}' -H 'Content-Type: application/json' \\")
        context.out.println("  -d '${DemoCalls.chatBody(stream = true)}'")
        context.out.println()
        context.out.println("Interrupt to stop.")
        waitForStop { fleet.close() }
    }

    private companion object {
        val RATE = TokenRate(tokensPerSecond = 2_000, burstTokens = 10_000)
    }
}
