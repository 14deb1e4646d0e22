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
import org.nutmegspring.gateway.http.EventLoop
import org.nutmegspring.gateway.http.parseSocketAddress
import org.nutmegspring.gateway.http.socketAddress
import kotlin.time.Duration

/** A report and the addresses that it is sent to. */
class AddressedReport(val report: PeerReport, val addresses: List<String>)

/** Handles the messages of other instances. */
interface PeerReceiver {
    /** Applies a report. */
    fun onReport(report: PeerReport)

    /** Returns the answer to a question. */
    fun onQuestion(question: FeedQuestion): FeedAnswer

    /** Takes the answer to a question of this instance. */
    fun onAnswer(answer: FeedAnswer)

    /** A message cannot be read or sent, for the reason in [problem], which names the other instance. */
    fun onProblem(problem: String)
}

/**
 * Exchanges reports with the other instances, as CBOR in UDP datagrams.
 *
 * Datagrams avoid connections that can hang without an error, and a lost report is replaced by the next one.
 */
class PeerExchange(
    loop: EventLoop,
    address: String,
    private val pacing: ReportPacing,
    private val receiver: PeerReceiver,
) {
    /** The bytes sent and received. */
    val traffic = ExchangeTraffic()

    /** The time between the last reports and the next ones. */
    var interval: Duration = pacing.computeInterval(bytes = 0, peers = 0)
        private set

    private val channel: Channel = Bootstrap()
        .group(loop.group)
        .channel(NioDatagramChannel::class.java)
        .option(ChannelOption.RCVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
        .handler(Receiver())
        .bind(socketAddress(address))
        .sync()
        .channel()

    /** Sends what [createReports] returns at each interval, until the coroutine is cancelled. */
    suspend fun run(createReports: () -> List<AddressedReport>): Nothing {
        while (true) {
            send(createReports())
            delay(interval)
        }
    }

    /** Sends [reports] once. */
    fun send(reports: List<AddressedReport>) {
        var bytes = 0L
        for (addressed in reports.filter { it.addresses.isNotEmpty() }) {
            val encoded = PeerMessageCodec.encode(PeerMessage.Report(addressed.report))
            traffic.recordSent(encoded.size, addressed.addresses.size)
            bytes += encoded.size.toLong() * addressed.addresses.size
            addressed.addresses.forEach { write(encoded, it) }
        }
        channel.flush()
        interval = pacing.computeInterval(bytes, reports.sumOf { it.addresses.size })
    }

    /** Sends [question] to [address] once. */
    fun ask(address: String, question: FeedQuestion) {
        write(PeerMessageCodec.encode(PeerMessage.Question(question)), address)
        channel.flush()
    }

    private fun write(encoded: ByteArray, address: String) {
        val target = parseSocketAddress(address) ?: return receiver.onProblem("'$address' is no address of an instance")
        channel.write(DatagramPacket(Unpooled.wrappedBuffer(encoded), target))
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            traffic.recordReceived(packet.content().readableBytes())
            val message = try {
                PeerMessageCodec.decode(ByteBufUtil.getBytes(packet.content()))
            } catch (malformed: IllegalArgumentException) {
                return receiver.onProblem("message of ${packet.sender()} cannot be decoded: ${malformed.message}")
            }
            when (message) {
                is PeerMessage.Report -> {
                    receiver.onReport(message.report)
                }

                is PeerMessage.Question -> {
                    val answer = PeerMessageCodec.encode(PeerMessage.Answer(receiver.onQuestion(message.question)))
                    context.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(answer), packet.sender()))
                }

                is PeerMessage.Answer -> {
                    receiver.onAnswer(message.answer)
                }
            }
        }

        @Deprecated("Netty calls this for every failure of a channel")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            receiver.onProblem("peer exchange failed: ${cause.message}")
        }
    }

    private companion object {
        const val MAXIMUM_DATAGRAM_BYTES = 65_507
    }
}
