package org.nutmegspring.commandline.process

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import org.nutmegspring.adapter.createPlatformAdapter
import org.nutmegspring.gateway.instance.startGateway
import org.nutmegspring.gateway.settings.GatewaySettingsLoader
import java.io.File
import java.net.BindException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class FailedStartSpec {
    @Nested
    inner class `given a gateway of which one address is in use` {
        // Guards against LOST: callers were accepted before the other addresses were open, and then cut off.
        @Test
        fun `no caller is accepted by a start that fails`(
            @TempDir folder: File,
        ) {
            val site = GatewaySite(folder, store = "127.0.0.1:1")
            val settings = GatewaySettingsLoader().parse("test", site.text).fold({ error(it) }, { it })
            val port = settings.addresses.metrics.substringAfter(':').toInt()
            ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).use {
                val isOver = AtomicBoolean()
                val accepted = AtomicInteger()
                val caller = thread { while (!isOver.get()) if (site.isListening) accepted.incrementAndGet() }
                repeat(STARTS) {
                    assertFailsWith<BindException> { startGateway(settings, { }, ::createPlatformAdapter) }
                }
                isOver.set(true)
                caller.join()
                assertEquals(0, accepted.get())
            }
        }
    }

    private companion object {
        const val STARTS = 20
    }
}
