package org.nutmegspring.gateway.peers

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.coroutines.delay
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.nutmegspring.gateway.http.EventLoop
import org.nutmegspring.gateway.http.socketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends reports to the other instances and takes theirs, as CBOR in datagrams.
 *
 * A datagram needs no connection that could go silent, and the next report replaces a lost one.
 */
@OptIn(ExperimentalSerializationApi::class)
class PeerExchange(
    loop: EventLoop,
    address: String,
    private val onReport: (PeerReport) -> Unit,
    private val onUnreadable: (String) -> Unit,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val channel: Channel = Bootstrap()
        .group(loop.group)
        .channel(NioDatagramChannel::class.java)
        .option(ChannelOption.RCVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
        .handler(Receiver())
        .bind(socketAddress(address))
        .sync()
        .channel()

    /** Sends what [report] returns to the addresses that [targets] returns, until the coroutine is cancelled. */
    suspend fun run(targets: () -> List<String>, report: () -> PeerReport): Nothing {
        while (true) {
            val addresses = targets()
            send(addresses, report())
            delay(interval(addresses.size))
        }
    }

    /** Sends [report] once. */
    fun send(addresses: List<String>, report: PeerReport) {
        if (addresses.isEmpty()) return
        val bytes = cbor.encodeToByteArray(PeerReport.serializer(), report)
        addresses.forEach { channel.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), socketAddress(it))) }
        channel.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            try {
                onReport(cbor.decodeFromByteArray(PeerReport.serializer(), ByteBufUtil.getBytes(packet.content())))
            } catch (unreadable: SerializationException) {
                onUnreadable("report of ${packet.sender()} is unreadable: ${unreadable.message}")
            } catch (unreadable: IllegalArgumentException) {
                onUnreadable("report of ${packet.sender()} is unreadable: ${unreadable.message}")
            }
        }

        @Deprecated("Netty calls this for every failure of a channel")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            onUnreadable("exchange failed: ${cause.message}")
        }
    }

    /** How often instances tell each other. */
    companion object {
        /** The more peers there are, the less often each is told, so that the messages of one instance stay bounded. */
        fun interval(peers: Int): Duration = maxOf(SHORTEST_INTERVAL, INTERVAL_PER_PEER * peers)

        /** Loads change within a few tens of milliseconds; each message costs the sender and the receivers. */
        private val SHORTEST_INTERVAL = 100.milliseconds
        private val INTERVAL_PER_PEER = 10.milliseconds
        private const val MAXIMUM_DATAGRAM_BYTES = 65_507
    }
}
