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
 * Exchanges reports with the other instances, as CBOR in UDP datagrams.
 *
 * Datagrams avoid connections that can hang without an error, and a lost report is replaced by the next one.
 */
@OptIn(ExperimentalSerializationApi::class)
class PeerExchange(
    loop: EventLoop,
    address: String,
    private val onReport: (PeerReport) -> Unit,
    private val onUnreadable: (String) -> Unit,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** The bytes sent and received. */
    val traffic = ExchangeTraffic()

    private val channel: Channel = Bootstrap()
        .group(loop.group)
        .channel(NioDatagramChannel::class.java)
        .option(ChannelOption.RCVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
        .handler(Receiver())
        .bind(socketAddress(address))
        .sync()
        .channel()

    /** Sends a new [report] to the current [targets] at each interval, until the coroutine is cancelled. */
    suspend fun run(targets: () -> List<String>, report: () -> PeerReport): Nothing {
        while (true) {
            val addresses = targets()
            send(addresses, report())
            delay(reportInterval(addresses.size))
        }
    }

    /** Sends [report] once to each of [addresses]. */
    fun send(addresses: List<String>, report: PeerReport) {
        if (addresses.isEmpty()) return
        val bytes = cbor.encodeToByteArray(PeerReport.serializer(), report)
        traffic.recordSent(bytes.size, addresses.size)
        addresses.forEach { channel.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), socketAddress(it))) }
        channel.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            traffic.recordReceived(packet.content().readableBytes())
            try {
                onReport(cbor.decodeFromByteArray(PeerReport.serializer(), ByteBufUtil.getBytes(packet.content())))
            } catch (malformed: SerializationException) {
                onUnreadable("report of ${packet.sender()} cannot be decoded: ${malformed.message}")
            } catch (malformed: IllegalArgumentException) {
                onUnreadable("report of ${packet.sender()} cannot be decoded: ${malformed.message}")
            }
        }

        @Deprecated("Netty calls this for every failure of a channel")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            onUnreadable("peer exchange failed: ${cause.message}")
        }
    }

    /** Holds the interval of reports. */
    companion object {
        /** Computes the interval, which grows with the number of [peers] to bound the send rate of one instance. */
        fun reportInterval(peers: Int): Duration = maxOf(MINIMUM_INTERVAL, INTERVAL_PER_PEER * peers)

        /** Loads change within tens of milliseconds, but each report costs processing time at sender and receivers. */
        private val MINIMUM_INTERVAL = 100.milliseconds
        private val INTERVAL_PER_PEER = 10.milliseconds
        private const val MAXIMUM_DATAGRAM_BYTES = 65_507
    }
}
