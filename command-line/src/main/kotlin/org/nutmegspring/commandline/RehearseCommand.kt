package org.nutmegspring.commandline

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.coroutines.runBlocking
import org.nutmegspring.adapter.Rehearsal
import org.nutmegspring.gateway.observe.BoundedDecisionLog
import org.nutmegspring.gateway.observe.configureGatewayLogs
import org.nutmegspring.time.systemMonotonicClock
import java.net.BindException

/** Runs an instance of the gateway for a moment; the build records the classes that this loads. */
@OptIn(ExperimentalCli::class)
class RehearseCommand(private val context: CommandContext) :
    Subcommand("rehearse", "Runs an instance for a moment, so that the build can record what a start loads") {
    override fun execute() {
        configureGatewayLogs()
        val result = try {
            runBlocking { Rehearsal(BoundedDecisionLog(systemMonotonicClock(), LINES_PER_SECOND)).run() }
        } catch (taken: BindException) {
            return context.fail("a port was taken: ${taken.message}")
        }
        if (!result.isServed) context.fail("not all calls were served: $result")
    }

    private companion object {
        const val LINES_PER_SECOND = 200
    }
}
