package org.nutmegspring.commandline.process

import java.io.BufferedReader
import java.io.File
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** A process of the product, started from the class path of the tests with [options]. */
class ProductProcess(private val log: File, options: ProcessOptions, vararg arguments: String) : AutoCloseable {
    constructor(log: File, vararg arguments: String) : this(log, ProcessOptions(), *arguments)

    private val process: Process = ProcessBuilder(command(options, arguments.toList()))
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

    /** The number of open descriptors, or 0 when the process has ended. */
    val openDescriptors: Int get() = File("/proc/${process.pid()}/fd").list()?.size ?: 0

    /** The largest resident memory that the process has had, in mebibytes, or 0 when it has ended. */
    val peakMemoryMebibytes: Long
        get() = try {
            File("/proc/${process.pid()}/status").readLines().firstOrNull { it.startsWith("VmHWM:") }
                ?.filter { it.isDigit() }?.toLong()?.div(KIBIBYTES_PER_MEBIBYTE) ?: 0
        } catch (_: IOException) {
            0
        }

    /** The end of what was printed, and of the file of errors, which processes may share. */
    val lastOutput: String
        get() = (lines.takeLast(LAST_LINES) + log.readLines().takeLast(LAST_LINES)).joinToString("\n")

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
        const val LAST_LINES = 40
        val ADDRESS = Regex("""\d+\.\d+\.\d+\.\d+:\d+""")

        const val KIBIBYTES_PER_MEBIBYTE = 1024

        fun command(options: ProcessOptions, arguments: List<String>): List<String> = options.limitCommand() +
            File(System.getProperty("java.home"), "bin/java").path + options.flags +
            listOf("-cp", System.getProperty("java.class.path"), "org.nutmegspring.commandline.MainKt") + arguments
    }
}

/** The flags of the JVM of a process, and the maximum of its open descriptors, null for that of the tests. */
class ProcessOptions(
    val flags: List<String> = listOf("-Xmx192m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"),
    private val maximumDescriptors: Int? = null,
) {
    /** The command that sets the limit and is replaced by the process. */
    fun limitCommand(): List<String> = when (maximumDescriptors) {
        null -> emptyList()
        else -> listOf("sh", "-c", "ulimit -n $maximumDescriptors && exec \"$@\"", "sh")
    }

    /** Holds the flags of the deploy file. */
    companion object {
        /** The flags of the deploy file, with a heap of [heapMebibytes]. Its class archive fits the built file only. */
        fun ofDeployment(heapMebibytes: Int, maximumDescriptors: Int): ProcessOptions {
            val command = File("../deploy/system.toml").readLines().single { it.startsWith("run = ") }
            val flags = command.substringAfter("java ").substringBefore(" -jar ").split(' ')
            check(flags.any { it.startsWith("-Xmx") }) { "the deploy file does not state the heap" }
            val kept = flags.filterNot { flag -> REPLACED_FLAGS.any { flag.startsWith(it) } }
            return ProcessOptions(kept + "-Xmx${heapMebibytes}m", maximumDescriptors)
        }

        private val REPLACED_FLAGS = listOf("-Xmx", "-XX:SharedArchiveFile", "-Xshare")
    }
}
