package org.nutmegspring.protocol

import java.util.concurrent.atomic.LongAdder

/** Counts what the inner protocol carries. All figures only increase. */
class TransportCounters {
    private val sentBytes = LongAdder()
    private val receivedBytes = LongAdder()
    private val sentFrames = LongAdder()
    private val receivedFrames = LongAdder()
    private val droppedReplyFrames = LongAdder()
    private val failedExchanges = LongAdder()

    /** Bytes written, frame headers included. */
    val bytesSent: Long get() = sentBytes.sum()

    /** Bytes read, frame headers included. */
    val bytesReceived: Long get() = receivedBytes.sum()

    /** Frames written. */
    val framesSent: Long get() = sentFrames.sum()

    /** Frames read. */
    val framesReceived: Long get() = receivedFrames.sum()

    /** Replies that came too late or matched no request. */
    val repliesDropped: Long get() = droppedReplyFrames.sum()

    /** Exchanges that ended with a failure. */
    val exchangesFailed: Long get() = failedExchanges.sum()

    internal fun sent(bytes: Int) {
        sentBytes.add(bytes.toLong())
        sentFrames.increment()
    }

    internal fun received(bytes: Int) {
        receivedBytes.add(bytes.toLong())
        receivedFrames.increment()
    }

    internal fun replyDropped() = droppedReplyFrames.increment()

    internal fun exchangeFailed() = failedExchanges.increment()
}
