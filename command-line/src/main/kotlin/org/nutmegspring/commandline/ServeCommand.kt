package org.nutmegspring.commandline

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.nutmegspring.node.instance.startInstance
import org.nutmegspring.node.observe.configureLogs
import org.nutmegspring.node.settings.SettingsLoader
import java.io.File
import java.net.BindException

/** Runs an instance until it is told to stop. */
@OptIn(ExperimentalCli::class)
class ServeCommand(private val context: CommandContext) : Subcommand("serve", "Runs an instance") {
    private val settings by option(ArgType.String, "settings", "s", "Settings file in YAML").required()

    override fun execute() = SettingsLoader().load(File(settings)).fold(
        { problems -> problems.forEach { context.fail(it.toString(), ExitCode.USAGE) } },
        { loaded ->
            configureLogs(loaded.logs)
            try {
                val instance = startInstance(loaded)
                val addresses = "callers at ${instance.callerAddress} and instances at ${instance.innerAddress}"
                context.out.println("instance ${loaded.instance.id} serves $addresses")
                waitForStop {
                    runBlocking { instance.drain() }
                    instance.close()
                }
            } catch (taken: BindException) {
                context.fail("cannot listen at ${loaded.callers.address}: ${taken.message}")
            }
        },
    )
}

/** Blocks until the process is told to end, and then runs [stop] before it does. */
internal fun waitForStop(stop: () -> Unit) {
    Runtime.getRuntime().addShutdownHook(Thread(stop))
    Thread.currentThread().join()
}
