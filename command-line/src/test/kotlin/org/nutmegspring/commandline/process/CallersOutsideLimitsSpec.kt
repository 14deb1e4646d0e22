package org.nutmegspring.commandline.process

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import org.nutmegspring.adapter.RehearsedPlatform
import org.nutmegspring.gateway.observe.configureGatewayLogs
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Crowds of callers outside the limits, at each address of a process of the gateway.
 *
 * Each class guards against a process that ends, that no longer answers, or that needs more memory or descriptors than
 * its machine has.
 */
class CallersOutsideLimitsSpec {
    init {
        configureGatewayLogs()
    }

    @TempDir
    lateinit var folder: File
    private val platform = RehearsedPlatform()
    private var process: ProductProcess? = null
    private lateinit var site: GatewaySite

    @AfterEach
    fun close() {
        process?.close()
        platform.close()
    }

    /** What a crowd asks for. */
    private enum class Aim(val target: String, val address: (GatewaySite) -> InetSocketAddress) {
        ROUTE("/plain/x", GatewaySite::callerAddress),
        NO_ROUTE("/nowhere", GatewaySite::callerAddress),
        READINESS("/-/readiness", GatewaySite::readinessAddress),
        ADDRESSES("/-/resolve?zone=rennes", GatewaySite::directoryAddress),
        METRICS("/metrics", GatewaySite::metricsAddress),
        ;

        /** The head of a request with [method] without its last line. */
        fun head(method: String) = "$method $target HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer key\r\n" +
            "Nutmegspring-Request-Id: r1\r\nNutmegspring-Deadline-Ms: 2000\r\n"
    }

    /** Sends a crowd to each aim in turn, and checks after each that the process is sound. */
    private fun check(size: Int, time: Duration = CROWD_TIME, script: CrowdCaller.(Int, Aim) -> Unit) {
        val faults = Aim.entries.flatMap { aim ->
            val running = runningProcess()
            Crowd(aim.address(site), size) { script(it, aim) }.use { crowd ->
                crowd.await(time)
                findFaults(running).map { "$aim: $it" }
            } + findLaterFaults(running).map { "$aim: $it" }
        }
        assertEquals(emptyList(), faults)
    }

    private fun runningProcess(): ProductProcess {
        process?.let { if (it.isAlive && isAnswered(ONCE)) return it }
        process?.close()
        site = GatewaySite(folder, platform.address).also { it.writeSettings() }
        val started = site.start(ProcessOptions.ofDeployment(HEAP_MEBIBYTES, MAXIMUM_DESCRIPTORS))
        process = started
        check(isAnswered(ANSWER_LIMIT)) { "the process does not answer after its start" }
        return started
    }

    private fun findFaults(running: ProductProcess): List<String> = buildList {
        val descriptors = running.openDescriptors
        if (descriptors > DESCRIPTOR_BOUND) add("$descriptors descriptors")
    }

    private fun findLaterFaults(running: ProductProcess): List<String> = buildList {
        val memory = running.peakMemoryMebibytes
        if (memory > MEMORY_BOUND_MEBIBYTES) add("$memory MiB")
        val isAnswered = isAnswered(ANSWER_LIMIT)
        if (!running.isAlive) {
            add("the process has ended")
        } else if (!isAnswered) {
            add("no answer")
        }
    }

    /** Whether the process is ready and answers an ordinary request. */
    private fun isAnswered(limit: Duration): Boolean {
        val start = TimeSource.Monotonic.markNow()
        while (true) {
            if (Aim.READINESS.isAnsweredOnce() && Aim.ROUTE.isAnsweredOnce()) return true
            if (start.elapsedNow() >= limit || process?.isAlive != true) return false
            Thread.sleep(RETRY_MILLISECONDS)
        }
    }

    private fun Aim.isAnsweredOnce(): Boolean = try {
        Socket().use {
            it.soTimeout = READ_LIMIT_MILLISECONDS
            it.connect(address(site), READ_LIMIT_MILLISECONDS)
            it.getOutputStream().write("${head("GET")}Connection: close\r\n\r\n".encodeToByteArray())
            it.getInputStream().readBytes().decodeToString().startsWith("HTTP/1.1 200 ")
        }
    } catch (_: IOException) {
        false
    }

    @Nested
    inner class `bodies of legal size` {
        @Test
        fun `many at once, most without their last byte, leave the process sound`() = check(150) { number, aim ->
            val bytes = if (number % 5 == 0) BODY else BODY.copyOf(BODY.size - 1)
            val socket = connect()
            when (number % 3) {
                0 -> {
                    socket.sendLengthAnd(aim) { sendInPieces(bytes, bytes.size) }
                }

                1 -> {
                    socket.sendLengthAnd(aim) { sendInPieces(bytes, SMALL_PIECE) }
                }

                else -> {
                    socket.send("${aim.head("POST")}Transfer-Encoding: chunked\r\n\r\n")
                    repeat(BODY.size / CHUNK.length) { socket.send("200\r\n$CHUNK\r\n") }
                    if (number % 5 == 0) socket.send("0\r\n\r\n")
                }
            }
        }

        private fun Socket.sendLengthAnd(aim: Aim, sendBody: Socket.() -> Unit) {
            getOutputStream().write("${aim.head("POST")}Content-Length: ${BODY.size}\r\n\r\n".encodeToByteArray())
            sendBody()
        }
    }

    @Nested
    inner class `bodies over the limit` {
        @Test
        fun `stated, chunked and without end, leave the process sound`() = check(40) { number, aim ->
            val socket = connect()
            if (number % 2 == 0) {
                socket.send("${aim.head("POST")}Content-Length: 1000000000\r\n\r\n")
                repeat(OVERLONG_BODIES) { socket.sendInPieces(BODY, BODY.size) }
            } else {
                socket.send("${aim.head("POST")}Transfer-Encoding: chunked\r\n\r\n")
                repeat(OVERLONG_BODIES * BODY.size / CHUNK.length) { socket.send("200\r\n$CHUNK\r\n") }
            }
        }
    }

    @Nested
    inner class `heads of very many short fields` {
        @Test
        fun `in heads, trailers and chunk extensions, leave the process sound`() = check(100) { number, aim ->
            val socket = connect()
            val head = aim.head("GET") + SHORT_FIELDS
            when (number % 4) {
                0, 1 -> {
                    repeat(HEADS) { socket.send("$head\r\n") }
                }

                2 -> {
                    socket.send(head)
                }

                else -> {
                    socket.send("${aim.head("POST")}Transfer-Encoding: chunked\r\n\r\n")
                    repeat(HEADS) { socket.send("1;${";a=b".repeat(EXTENSIONS)}\r\nx\r\n") }
                    socket.send("0\r\n$SHORT_FIELDS")
                }
            }
        }
    }

    @Nested
    inner class `requests sent ahead` {
        @Test
        fun `on connections whose answers are not read leave the process sound`() = check(150, 6.seconds) {
            number,
            aim,
            ->
            val socket = connect()
            val head = if (number % 3 == 0) "GET ${aim.target} HTTP/1.1\r\n" else aim.head("GET")
            val requests = "$head\r\n".repeat(REQUESTS_AHEAD)
            repeat(BATCHES_AHEAD) { socket.send(requests) }
        }
    }

    @Nested
    inner class `slow callers` {
        @Test
        fun `that stop half-way or go on byte by byte leave the process sound`() = check(100) { number, aim ->
            val socket = connect()
            when (number % 5) {
                0 -> {
                    val head = aim.head("GET").iterator()
                    nowAndThen { if (head.hasNext()) socket.send(head.next().toString()) }
                }

                1 -> {
                    socket.send(aim.head("GET"))
                }

                2 -> {
                    socket.send("${aim.head("POST")}Content-Length: 900000\r\n\r\n$CHUNK")
                }

                3 -> {
                    socket.send("${aim.head("POST")}Content-Length: 900000\r\n\r\n")
                    nowAndThen { socket.send("x") }
                }

                else -> {
                    socket.send("${aim.head("GET")}\r\n".repeat(REQUESTS_AHEAD))
                    nowAndThen { socket.getInputStream().read() }
                }
            }
        }
    }

    @Nested
    inner class `connections without a byte` {
        @Test
        fun `beyond the descriptors of the process leave it sound`() = check(50) { _, _ ->
            repeat(MAXIMUM_DESCRIPTORS / 40) { connect() }
        }
    }

    private companion object {
        const val HEAP_MEBIBYTES = 48

        /** The heap, and what the smallest machine of 290 MiB leaves beside the heap of the deploy file. */
        const val MEMORY_BOUND_MEBIBYTES = HEAP_MEBIBYTES + 130L

        /** The class path of the tests takes more than a hundred. */
        const val MAXIMUM_DESCRIPTORS = 500

        /** What the store, endpoints and the exchange need stays free. */
        const val DESCRIPTOR_BOUND = 460
        val CROWD_TIME = 3.seconds
        val ANSWER_LIMIT = 20.seconds
        val ONCE = 0.seconds
        const val RETRY_MILLISECONDS = 200L
        const val READ_LIMIT_MILLISECONDS = 3_000
        val BODY = ByteArray(900_000) { 'x'.code.toByte() }
        const val SMALL_PIECE = 1_000
        val CHUNK = "x".repeat(512)
        const val OVERLONG_BODIES = 8

        /** As many fields as a head of 16,384 bytes has room for. */
        val SHORT_FIELDS = "a:b\r\n".repeat(3_200)
        const val HEADS = 20
        const val EXTENSIONS = 2_000
        const val REQUESTS_AHEAD = 500
        const val BATCHES_AHEAD = 100
    }
}
