package org.nutmegspring.commandline.process

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import org.nutmegspring.adapter.RehearsedPlatform
import org.nutmegspring.gateway.observe.configureGatewayLogs
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class SignalsDuringStartSpec {
    init {
        configureGatewayLogs()
    }

    @TempDir
    lateinit var folder: File
    private val platform = RehearsedPlatform()

    @AfterEach
    fun closePlatform() = platform.close()

    private fun createSite() = GatewaySite(folder, platform.address)

    /** What became of a process that got SIGHUP [after] its start, and SIGTERM one step later. */
    private data class Outcome(
        val after: Duration,
        val wasListening: Boolean,
        val wasReady: Boolean,
        val exitCode: Int,
        val output: String,
    )

    private suspend fun signalAfter(time: Duration): Outcome {
        val site = createSite().also { it.writeSettings() }
        return site.start().use { process ->
            delay(time)
            val wasReady = process.hasPrinted(READY)
            val wasListeningAtFirst = site.isListening
            process.signal("HUP")
            delay(STEP)
            val wasListening = wasListeningAtFirst || site.isListening
            process.signal("TERM")
            Outcome(time, wasListening, wasReady, process.exitCode(), process.lastOutput)
        }
    }

    @Nested
    inner class `given a gateway that gets signals while it starts` {
        // Guards against LOST: SIGTERM to a process that listened ended it at once, without answers to its callers.
        @Test
        fun `it ends with exit code 0 whenever it has listened`() = runBlocking(Dispatchers.IO) {
            val outcomes = ArrayList<Outcome>()
            while (outcomes.count { it.wasReady } < PARALLEL) {
                val batch = List(PARALLEL) { STEP * (outcomes.size + it) }
                outcomes += batch.map { async { signalAfter(it) } }.awaitAll()
            }
            assertTrue(outcomes.any { it.wasListening && !it.wasReady }, "no signal between listening and readiness")
            assertEquals(emptyList(), outcomes.filter { it.wasListening && it.exitCode != 0 })
            assertEquals(emptyList(), outcomes.filter { it.exitCode !in setOf(0, ENDED_BY_HUP, ENDED_BY_TERM) })
        }

        // Guards against LOST: until the servers had started, the signal had the effect that the JVM gives it.
        @Test
        fun `SIGTERM while it reads its settings ends it with exit code 0 before it listens`() = runBlocking {
            val site = createSite().also { it.makeSettingsWait() }
            site.start().use { process ->
                site.settings.outputStream().use {
                    process.signal("TERM")
                    it.write(site.text.encodeToByteArray())
                }
                assertEquals(0, process.exitCode())
                assertFalse(process.hasPrinted("starting"))
            }
        }

        // Guards against Fault: a process that had just been started was ended by a change of its settings.
        @Test
        fun `SIGHUP while it reads its settings makes it read them once more`() = runBlocking {
            val site = createSite().also { it.makeSettingsWait() }
            site.start().use { process ->
                site.settings.outputStream().use {
                    process.signal("HUP")
                    it.write(site.text.encodeToByteArray())
                }
                site.replaceSettings()
                ProcessFleet.awaitTrue { process.hasPrinted(RELOADED) || !process.isAlive }
                assertTrue(process.isAlive)
            }
        }

        // Guards against CONFIG: a change after the file was read and before it was first checked was never applied.
        @Test
        fun `settings that change after it has read them are read without a signal`() = runBlocking {
            val site = createSite().also { it.makeSettingsWait() }
            site.start().use { process ->
                site.writeSettings()
                site.replaceSettings()
                ProcessFleet.awaitTrue { process.hasPrinted(RELOADED) || !process.isAlive }
                assertTrue(process.isAlive)
            }
        }
    }

    private companion object {
        const val PARALLEL = 4
        val STEP = 20.milliseconds
        const val READY = "configuration and endpoints are known"
        const val RELOADED = "the settings were reloaded"
        const val ENDED_BY_HUP = 129
        const val ENDED_BY_TERM = 143
    }
}
