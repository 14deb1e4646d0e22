package org.nutmegspring.protocol

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import java.util.concurrent.ConcurrentHashMap
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class InnerTransportSpec {
    private val addresses = ConcurrentHashMap<InstanceId, String>()
    private val transports = ArrayList<InnerTransport>()
    private val first = InstanceId("first")
    private val second = InstanceId("second")
    private val timeout = 20.seconds

    private suspend fun startTransport(id: InstanceId, listedAs: InstanceId = id): InnerTransport {
        val options = TransportOptions(id, Incarnation(1), "127.0.0.1", 0, { addresses[it] })
        val transport = createInnerTransport(options)
        addresses[listedAs] = "127.0.0.1:${transport.start()}"
        transports.add(transport)
        return transport
    }

    @AfterEach
    fun close() = transports.forEach { it.close() }

    @Nested
    inner class `given two instances` {
        @Test
        fun `each concurrent request gets the reply with its own id`() = runBlocking(Dispatchers.Default) {
            val sender = startTransport(first)
            startTransport(second).addHandler { from, request -> ProbeReply("$from ${(request as ProbeRequest).text}") }
            val replies = (0 until 500).map { async { sender.exchange(second, ProbeRequest("$it"), timeout) } }
            replies.awaitAll().forEachIndexed { index, reply ->
                assertEquals(ProbeReply("first $index"), reply.getOrNull())
            }
            assertEquals(0, sender.counters.repliesDropped)
        }

        @Test
        fun `a request that no handler supports is reported as not run`() = runBlocking {
            val sender = startTransport(first)
            startTransport(second)
            val failure = sender.exchange(second, ProbeRequest("x"), timeout).leftOrNull()!!
            assertEquals(Effect.NOT_RUN, failure.effect)
            assertEquals(Step.EXCHANGE, failure.step)
            assertEquals("instance second", failure.peer.value)
        }

        @Test
        fun `the outcome of a request whose handler throws is unknown`() = runBlocking {
            val sender = startTransport(first)
            startTransport(second).addHandler { _, _ -> error("broken") }
            assertEquals(Effect.UNKNOWN, sender.exchange(second, ProbeRequest("x"), timeout).leftOrNull()?.effect)
        }

        @Test
        fun `a reply after the timeout is dropped and counted, and no later request receives it`() = runBlocking {
            val sender = startTransport(first)
            val replyAllowed = CompletableDeferred<Unit>()
            startTransport(second).addHandler { _, request ->
                val text = (request as ProbeRequest).text
                if (text == "slow") replyAllowed.await()
                ProbeReply(text)
            }
            sender.exchange(second, ProbeRequest("warm"), timeout)
            val slow = sender.exchange(second, ProbeRequest("slow"), 100.milliseconds)
            assertEquals(Effect.UNKNOWN, slow.leftOrNull()?.effect)
            replyAllowed.complete(Unit)
            while (sender.counters.repliesDropped == 0L) {
                assertEquals(ProbeReply("quick"), sender.exchange(second, ProbeRequest("quick"), timeout).getOrNull())
            }
            assertEquals(1, sender.counters.repliesDropped)
        }

        @Test
        fun `a request over the maximum frame length is not run and the connection stays usable`() = runBlocking {
            val sender = startTransport(first)
            startTransport(second).addHandler { _, request -> ProbeReply((request as ProbeRequest).text.take(1)) }
            val long = sender.exchange(second, ProbeRequest("x".repeat(5_000_000)), timeout)
            assertEquals(Effect.NOT_RUN, long.leftOrNull()?.effect)
            assertEquals(ProbeReply("y"), sender.exchange(second, ProbeRequest("y"), timeout).getOrNull())
        }

        @Test
        fun `requests succeed again after the peer is replaced at another address`() = runBlocking {
            val sender = startTransport(first)
            val old = startTransport(second).apply { addHandler { _, _ -> ProbeReply("old") } }
            assertEquals(ProbeReply("old"), sender.exchange(second, ProbeRequest("x"), timeout).getOrNull())
            old.close()
            startTransport(second).addHandler { _, _ -> ProbeReply("new") }
            var reply = sender.exchange(second, ProbeRequest("x"), timeout)
            while (reply.isLeft()) reply = sender.exchange(second, ProbeRequest("x"), timeout)
            assertEquals(ProbeReply("new"), reply.getOrNull())
        }
    }

    @Nested
    inner class `given a peer that cannot be reached` {
        @Test
        fun `a request to an instance without a known address is reported as not run`() = runBlocking {
            val failure = startTransport(first).exchange(second, ProbeRequest("x"), timeout).leftOrNull()
            assertEquals(Effect.NOT_RUN, failure?.effect)
        }

        @Test
        fun `a refused connection is reported as not run and the next failure has a retry after`() = runBlocking {
            val sender = startTransport(first)
            startTransport(second).close()
            assertEquals(Effect.NOT_RUN, sender.exchange(second, ProbeRequest("x"), timeout).leftOrNull()?.effect)
            var maximumDelay = 50.milliseconds
            var next = sender.exchange(second, ProbeRequest("x"), timeout).leftOrNull()!!
            // An attempt after the retry delay connects again, and its failure doubles the next delay.
            while (next.retryAfter == null) {
                assertEquals(Effect.NOT_RUN, next.effect)
                maximumDelay *= 2
                next = sender.exchange(second, ProbeRequest("x"), timeout).leftOrNull()!!
            }
            assertEquals(Effect.NOT_RUN, next.effect)
            assertTrue(next.retryAfter!! <= maximumDelay)
        }

        @Test
        fun `another instance at the peer's address receives no request`() = runBlocking {
            val sender = startTransport(first)
            var handled = 0
            startTransport(InstanceId("third"), listedAs = second).addHandler { _, _ -> ProbeReply("${handled++}") }
            assertEquals(Effect.NOT_RUN, sender.exchange(second, ProbeRequest("x"), timeout).leftOrNull()?.effect)
            assertEquals(0, handled)
        }

        @Test
        fun `the outcome of a request is unknown when the connection ends before the reply`() = runBlocking {
            val sender = startTransport(first)
            val peer = startTransport(second)
            val entered = CompletableDeferred<Unit>()
            peer.addHandler { _, _ ->
                entered.complete(Unit)
                CompletableDeferred<InnerReply>().await()
            }
            val outcome = async(Dispatchers.Default) { sender.exchange(second, ProbeRequest("x"), timeout) }
            entered.await()
            peer.close()
            assertEquals(Effect.UNKNOWN, outcome.await().leftOrNull()?.effect)
        }
    }

    @Nested
    inner class `given a connection with an invalid frame` {
        @Test
        fun `it is closed and other connections are still served`() = runBlocking {
            startTransport(second).addHandler { _, _ -> ProbeReply("served") }
            SelectorManager(Dispatchers.IO).use { selector ->
                val port = addresses.getValue(second).substringAfter(':').toInt()
                val socket = aSocket(selector).tcp().connect(InetSocketAddress("127.0.0.1", port))
                val output = socket.openWriteChannel(autoFlush = true)
                output.writeInt(Int.MAX_VALUE)
                assertFailsWith<Exception> { socket.openReadChannel().readInt() }
            }
            val reply = startTransport(first).exchange(second, ProbeRequest("x"), timeout)
            assertEquals(ProbeReply("served"), reply.getOrNull())
        }
    }
}
