package org.nutmegspring.commandline.administration

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

// Guards against CONFIG: a reply that was cut short passed for a whole one, so that a command ended with success.
class CutAdministrationReplySpec {
    private val head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    private val body = """{"revision":7}"""

    private fun execute(reply: String): AdministrationReply? =
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { listener ->
            thread(isDaemon = true) {
                listener.accept().use { socket ->
                    socket.getInputStream().bufferedReader().lineSequence().first { it.isEmpty() }
                    socket.getOutputStream().write(reply.encodeToByteArray())
                }
            }
            AdministrationClient("127.0.0.1:${listener.localPort}", "token").use { client ->
                try {
                    runBlocking { client.execute(AdministrationCall(HttpMethod.Get, "revisions/7")) }
                } catch (_: IOException) {
                    null
                }
            }
        }

    @Test
    fun `a reply cut at any byte is a failure`() {
        val chunks = "Transfer-Encoding: chunked\r\n\r\ne\r\n$body\r\n0\r\n\r\n"
        listOf("${head}Content-Length: ${body.length}\r\n\r\n$body", head + chunks).forEach { reply ->
            assertEquals(body, execute(reply)?.body)
            assertEquals(emptyList(), reply.indices.filter { execute(reply.take(it)) != null })
        }
    }
}
