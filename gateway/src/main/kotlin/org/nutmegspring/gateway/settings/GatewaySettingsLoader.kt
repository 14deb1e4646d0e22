package org.nutmegspring.gateway.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import org.nutmegspring.node.settings.SettingsProblem
import org.nutmegspring.node.settings.decodeSettings
import java.io.File
import java.io.IOException

/** Reads and checks the settings of the gateway. */
class GatewaySettingsLoader {
    /** Returns the settings in [file], or all problems found in them. */
    fun load(file: File): Either<List<SettingsProblem>, GatewaySettings> {
        val text = try {
            file.readText()
        } catch (unreadable: IOException) {
            return listOf(SettingsProblem(file.path, null, "file", "cannot be read: ${unreadable.message}")).left()
        }
        return parse(file.path, text)
    }

    /** Returns the settings in [text], the contents of the file [name], or all problems found in them. */
    fun parse(name: String, text: String): Either<List<SettingsProblem>, GatewaySettings> = either {
        val settings = decodeSettings(GatewaySettings.serializer(), name, text).mapLeft { listOf(it) }.bind()
        val problems = findProblems(settings).map { (path, message) -> SettingsProblem(name, null, path, message) }
        if (problems.isNotEmpty()) raise(problems)
        settings
    }

    private fun findProblems(settings: GatewaySettings): List<Pair<String, String>> {
        val addresses = with(settings.addresses) {
            listOf(
                "addresses.callers" to callers,
                "addresses.readiness" to readiness,
                "addresses.directory" to directory,
                "addresses.exchange" to exchange,
                "addresses.metrics" to metrics,
                "platform.store" to settings.platform.store,
            )
        }
        val revocation = settings.bounds.revocationMilliseconds
        val missing = listOf(
            "bounds.revocationMilliseconds" to "must have a value where bounds.strictRevocation is true",
        )
            .filter { settings.bounds.strictRevocation == true && revocation == null }
        val positive = with(settings.bounds) {
            listOf(
                "bounds.revocationMilliseconds" to revocationMilliseconds?.toDouble(),
                "bounds.configurationMilliseconds" to configurationMilliseconds.toDouble(),
                "bounds.stopSeconds" to stopSeconds,
                "bounds.retryWindowSeconds" to retryWindowSeconds,
                "bounds.quotaWindowSeconds" to quotaWindowSeconds,
                "bounds.leaseMilliseconds" to leaseMilliseconds?.toDouble(),
                "bounds.addressKeepSeconds" to addressKeepSeconds?.toDouble(),
                "logs.linesPerSecond" to settings.logs.linesPerSecond.toDouble(),
                "memory.callerBytes" to settings.memory.callerBytes?.toDouble(),
                "memory.connections" to settings.memory.connections?.toDouble(),
            )
        }
        return addresses.filterNot { ADDRESS.matches(it.second) }
            .map { (path, value) -> path to "'$value' must be an IP number and a port, such as 10.0.0.1:8080" } +
            positive.filterNot { (_, value) -> value == null || value > 0 }
                .map { (path, value) -> path to "$value must be above 0" } + missing
    }

    private companion object {
        val ADDRESS = Regex("""\d{1,3}(\.\d{1,3}){3}:\d{1,5}""")
    }
}
