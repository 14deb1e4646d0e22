package org.nutmegspring.commandline

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.nutmegspring.adapter.createPlatformAdapter
import org.nutmegspring.gateway.instance.GatewayInstance
import org.nutmegspring.gateway.instance.startGateway
import org.nutmegspring.gateway.observe.BoundedDecisionLog
import org.nutmegspring.gateway.observe.DecisionEvent
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.observe.configureGatewayLogs
import org.nutmegspring.gateway.settings.GatewaySettingsLoader
import org.nutmegspring.time.systemMonotonicClock
import sun.misc.Signal
import java.io.File
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Runs an instance of the gateway until it is told to stop. */
@OptIn(ExperimentalCli::class)
class GatewayCommand(private val context: CommandContext) :
    Subcommand("gateway", "Runs an instance between callers and the platform's endpoints") {
    private val settingsFile by option(ArgType.String, "settings", "s", "Settings file in YAML").required()

    override fun execute() {
        val file = File(settingsFile)
        GatewaySettingsLoader().load(file).fold(
            { problems -> problems.forEach { context.fail(it.toString(), ExitCode.USAGE) } },
            { settings ->
                configureGatewayLogs()
                val log = BoundedDecisionLog(systemMonotonicClock(), settings.logs.linesPerSecond)
                val instance = startGateway(settings, log, ::createPlatformAdapter)
                runUntilStopped(instance, file, log)
            },
        )
    }

    private fun runUntilStopped(instance: GatewayInstance, file: File, log: DecisionLog) {
        val stop = CountDownLatch(1)
        Signal.handle(Signal("TERM")) { stop.countDown() }
        Signal.handle(Signal("INT")) { stop.countDown() }
        Signal.handle(Signal("HUP")) { reload(instance, file, log) }
        var changedAt = file.lastModified()
        while (!stop.await(FILE_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)) {
            val modified = file.lastModified()
            if (modified != changedAt) reload(instance, file, log)
            changedAt = modified
        }
        runBlocking { instance.drain() }
        instance.close()
    }

    private fun reload(instance: GatewayInstance, file: File, log: DecisionLog) {
        GatewaySettingsLoader().load(file).fold(
            { problems -> log.record(DecisionEvent.Skipped("changed settings", problems.joinToString("; "))) },
            { instance.reload(it) },
        )
    }

    private companion object {
        /** How often the settings file is looked at; it may change without a signal. */
        const val FILE_CHECK_MILLISECONDS = 2000L
    }
}
