package org.nutmegspring.gateway.observe

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.junit.jupiter.api.Nested
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class GatewayLogsSpec {
    private val context = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }

    /** An output stream that blocks while another thread holds [lock]. */
    private class StalledReader(private val lock: ReentrantLock) : OutputStream() {
        val received = ByteArrayOutputStream()

        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

        override fun write(bytes: ByteArray, offset: Int, length: Int) {
            lock.withLock { received.write(bytes, offset, length) }
        }
    }

    @Nested
    inner class `under a flood of lines that nobody reads` {
        @Test
        fun `logging does not block, and queued lines are written later`() {
            val lock = ReentrantLock().apply { lock() }
            val reader = StalledReader(lock)
            val appender = createBoundedAppender(context, reader)
            val logger = context.getLogger("flood").apply {
                level = Level.INFO
                isAdditive = false
                addAppender(appender)
            }
            val flood = thread(isDaemon = true) { repeat(FLOOD) { logger.info("line {}", it) } }
            flood.join(HANG_GUARD_MILLISECONDS)
            assertFalse(flood.isAlive, "logging waits for the reader")
            lock.unlock()
            appender.stop()
            val lines = reader.received.toString().lines().filter { it.isNotEmpty() }
            assertTrue(lines.size in 1..<FLOOD, "${lines.size} lines")
            assertEquals(lines.size, lines.count { it.startsWith("{") && it.endsWith("}") })
        }
    }

    private companion object {
        /** Many times the capacity of the queue. */
        const val FLOOD = 50_000

        /** Only a thread that is blocked by the reader takes this long. */
        const val HANG_GUARD_MILLISECONDS = 60_000L
    }
}
