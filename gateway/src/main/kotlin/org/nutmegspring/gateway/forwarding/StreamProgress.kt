package org.nutmegspring.gateway.forwarding

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpUtil

/**
 * The progress of the stream to one caller, over all attempts.
 *
 * Once the caller has the head of the stream, a further attempt may add only events that continue it: whatever else an
 * endpoint answers would reach the caller as a part of the stream.
 *
 * @property lastEvent the id of the last event that the caller has, null for none
 */
class StreamProgress(var lastEvent: String?) {
    private var mediaType: String? = null

    /** Whether the caller has the head of the stream. */
    var isStarted = false
        private set

    /** Whether the current attempt continues a stream of which the caller has the head. */
    var isContinued = false
        private set

    /** Whether the caller has an event. */
    var hasOutput = false

    /** Whether the request was counted as begun. */
    var isCounted = false

    /** Whether another engine can resume: nothing was forwarded, or the last forwarded event has a known id. */
    val canContinue: Boolean get() = !isStarted || lastEvent != null

    /** Begins an attempt that is answered with [head]. Returns whether its type can continue the stream. */
    fun beginAttempt(head: AnswerHead): Boolean {
        isContinued = isStarted
        return !isContinued || head.mediaType == mediaType
    }

    /** Records that the caller has the head of the stream, [head]. */
    fun recordStart(head: AnswerHead) {
        isStarted = true
        mediaType = head.mediaType
    }

    /** Whether [event] may be forwarded. In an attempt that continues a stream, the ids have to go on increasing. */
    fun isInOrder(event: StreamEvent): Boolean {
        if (!isContinued) return true
        val previous = lastEvent?.toLongOrNull()
        val next = event.id?.toLongOrNull()
        return if (previous != null) next != null && next > previous else event.id != null && event.id != lastEvent
    }

    private val AnswerHead.mediaType: String?
        get() = headers.get(HttpHeaderNames.CONTENT_TYPE)?.let { HttpUtil.getMimeType(it)?.toString()?.lowercase() }
}
