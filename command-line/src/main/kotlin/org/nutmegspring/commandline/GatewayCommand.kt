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
import java.io.File
import kotlin.time.Duration.Companion.seconds

/** Runs an instance of the gateway until it is told to stop. */
@OptIn(ExperimentalCli::class)
class GatewayCommand(private val context: CommandContext) :
    Subcommand(GATEWAY_COMMAND, "Runs an instance between callers and the platform's endpoints") {
    private val settingsFile by option(ArgType.String, "settings", "s", "Settings file in YAML").required()

    override fun execute() {
        val file = SettingsFile(File(settingsFile))
        GatewaySettingsLoader().load(file.file).fold(
            { problems -> problems.forEach { context.fail(it.toString(), ExitCode.USAGE) } },
            { settings ->
                configureGatewayLogs()
                val log = BoundedDecisionLog(systemMonotonicClock(), settings.logs.linesPerSecond)
                val isStopRequested = context.signals::isStopRequested
                val instance = startGateway(settings, log, ::createPlatformAdapter, isStopRequested, ::endProcess)
                if (instance != null) runUntilStopped(instance, file, log)
            },
        )
    }

    private fun runUntilStopped(instance: GatewayInstance, file: SettingsFile, log: DecisionLog) {
        while (true) {
            val request = context.signals.await(FILE_CHECK_INTERVAL)
            if (request == SignalRequest.STOP) break
            // Looked at on a signal too, so that the change it announces is not read twice.
            val hasChanged = file.hasChanged()
            if (request == SignalRequest.RELOAD || hasChanged) reload(instance, file.file, log)
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

    /** Ends the process with a line of its own, since the usual way to the log may need memory or the event loop. */
    private fun endProcess(reason: String) {
        context.out.println("""{"level":"ERROR","formattedMessage":"the process ends: $reason"}""")
        context.out.flush()
        Runtime.getRuntime().halt(EXIT_BROKEN)
    }

    private companion object {
        /** As the JVM ends with `-XX:+ExitOnOutOfMemoryError`. */
        const val EXIT_BROKEN = 3

        /** How often the settings file is looked at; it may change without a signal. */
        val FILE_CHECK_INTERVAL = 2.seconds
    }
}

/** The name of [GatewayCommand]. */
internal const val GATEWAY_COMMAND = "gateway"
