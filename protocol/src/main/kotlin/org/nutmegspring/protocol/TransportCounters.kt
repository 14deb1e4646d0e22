package org.nutmegspring.protocol

import java.util.concurrent.atomic.LongAdder

/** Counts the traffic of the inner protocol since the transport was created. The values never decrease. */
class TransportCounters {
    private val sentBytes = LongAdder()
    private val receivedBytes = LongAdder()
    private val sentFrames = LongAdder()
    private val receivedFrames = LongAdder()
    private val droppedReplyFrames = LongAdder()
    private val failedExchanges = LongAdder()

    /** Bytes written, including length prefixes. */
    val bytesSent: Long get() = sentBytes.sum()

    /** Bytes read, including length prefixes. */
    val bytesReceived: Long get() = receivedBytes.sum()

    /** Frames written. */
    val framesSent: Long get() = sentFrames.sum()

    /** Frames read. */
    val framesReceived: Long get() = receivedFrames.sum()

    /** Frames received on outgoing connections that match no pending request, such as replies after the timeout. */
    val repliesDropped: Long get() = droppedReplyFrames.sum()

    /** Exchanges that ended with a failure. */
    val exchangesFailed: Long get() = failedExchanges.sum()

    internal fun recordSentFrame(bytes: Int) {
        sentBytes.add(bytes.toLong())
        sentFrames.increment()
    }

    internal fun recordReceivedFrame(bytes: Int) {
        receivedBytes.add(bytes.toLong())
        receivedFrames.increment()
    }

    internal fun recordDroppedReply() = droppedReplyFrames.increment()

    internal fun recordFailedExchange() = failedExchanges.increment()
}
