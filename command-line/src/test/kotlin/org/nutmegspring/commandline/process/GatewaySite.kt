package org.nutmegspring.commandline.process

import java.io.File
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket

/** The addresses and the settings file of a gateway that runs as a process of its own. */
class GatewaySite(private val folder: File, store: String) {
    private val callers = freePort()

    /** Where callers send requests. */
    val callerAddress = InetSocketAddress(HOST, callers)

    /** Where readiness is asked for. */
    val readinessAddress = InetSocketAddress(HOST, freePort())

    /** Where addresses are asked for. */
    val directoryAddress = InetSocketAddress(HOST, freePort())

    /** Where metrics are read. */
    val metricsAddress = InetSocketAddress(HOST, freePort())

    /** The settings. */
    val text: String = """
        instance: { id: entry-$callers, dataCentre: rennes }
        addresses:
          callers: "$HOST:$callers"
          readiness: "$HOST:${readinessAddress.port}"
          directory: "$HOST:${directoryAddress.port}"
          exchange: "$HOST:0"
          metrics: "$HOST:${metricsAddress.port}"
        platform: { store: "$store" }
        bounds:
          strictRevocation: true
          revocationMilliseconds: 5000
          configurationMilliseconds: 2000
          departureMilliseconds: 2000
          stopSeconds: 1
          retryRatio: 0.2
          retryExtra: 50
          retryWindowSeconds: 10
          quotaWindowSeconds: 8
          leaseMilliseconds: 3000
          usageWindowSeconds: 5
          usageReportSeconds: 10
          addressKeepSeconds: 2
    """.trimIndent()

    /** The settings file, which does not exist before [writeSettings]. */
    val settings: File = File(folder, "entry-$callers.yml")

    /** Whether callers can open a connection. */
    val isListening: Boolean
        get() = try {
            Socket().use {
                it.connect(InetSocketAddress(HOST, callers))
                // The system may connect a socket to itself when it takes the same port for both ends.
                it.localPort != callers
            }
        } catch (_: ConnectException) {
            false
        }

    /** Writes the settings to [file]. */
    fun writeSettings(file: File = settings) = file.writeText(text)

    /** Makes the settings file one whose reader waits until [writeSettings] has written it. */
    fun makeSettingsWait() {
        val exitCode = ProcessBuilder("mkfifo", settings.path).start().waitFor()
        check(exitCode == 0) { "mkfifo ended with exit code $exitCode" }
    }

    /** Replaces the settings file by another one with the same settings. */
    fun replaceSettings() {
        val replacement = File(folder, "${settings.name}.new").also { writeSettings(it) }
        check(replacement.renameTo(settings)) { "the settings file was not replaced" }
    }

    /** Starts the process with [options]. */
    fun start(options: ProcessOptions = ProcessOptions()) =
        ProductProcess(File(folder, "processes.log"), options, "gateway", "--settings", settings.path)

    private companion object {
        const val HOST = "127.0.0.1"

        fun freePort(): Int = ServerSocket(0).use { it.localPort }
    }
}
