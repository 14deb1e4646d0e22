package org.nutmegspring.commandline.process

import java.io.BufferedReader
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** A process of the product, started from the class path of the tests. */
class ProductProcess(log: File, vararg arguments: String) : AutoCloseable {
    private val process: Process = ProcessBuilder(command(arguments.toList()))
        .redirectError(ProcessBuilder.Redirect.appendTo(log))
        .start()
    private val firstLine = CompletableFuture<String>()
    private val lines = CopyOnWriteArrayList<String>()

    init {
        Thread { read(process.inputStream.bufferedReader()) }.apply { isDaemon = true }.start()
    }

    /** Waits for the line in which the process tells its addresses, and returns them. */
    fun addresses(): List<String> {
        val line = firstLine.get(START_LIMIT_SECONDS, TimeUnit.SECONDS)
        return ADDRESS.findAll(line).map { it.value }.toList().ifEmpty { error("no address in '$line'") }
    }

    /** Ends the process without warning. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends the process [name], for example `STOP`. */
    fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    /** Waits until the process has ended by itself and returns whether it has. */
    fun awaitEnd(): Boolean = process.waitFor(END_LIMIT_SECONDS, TimeUnit.SECONDS)

    /** Waits until the process has ended by itself and returns its exit code. */
    fun exitCode(): Int {
        check(awaitEnd()) { "the process did not end" }
        return process.exitValue()
    }

    /** Whether the process runs. */
    val isAlive: Boolean get() = process.isAlive

    /** Whether a line with [text] was printed. */
    fun hasPrinted(text: String): Boolean = lines.any { text in it }

    override fun close() = kill()

    private fun read(reader: BufferedReader) {
        reader.forEachLine {
            if (!firstLine.isDone) firstLine.complete(it)
            lines.add(it)
        }
        firstLine.completeExceptionally(IllegalStateException("the process ended without telling its addresses"))
    }

    private companion object {
        const val START_LIMIT_SECONDS = 120L
        const val END_LIMIT_SECONDS = 120L
        val ADDRESS = Regex("""\d+\.\d+\.\d+\.\d+:\d+""")

        fun command(arguments: List<String>): List<String> = listOf(
            File(System.getProperty("java.home"), "bin/java").path,
            "-Xmx192m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            "org.nutmegspring.commandline.MainKt",
        ) + arguments
    }
}
