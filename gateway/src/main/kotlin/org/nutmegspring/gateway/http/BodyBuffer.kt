package org.nutmegspring.gateway.http

import io.netty.buffer.ByteBuf

/** Collects a body in blocks, so that it is copied once and small pieces cost no objects of their own. */
internal class BodyBuffer {
    private val blocks = ArrayList<ByteArray>()
    private var freeInLast = 0

    /** The bytes of the body so far. */
    var size = 0
        private set

    /** The bytes of the blocks. */
    val allocatedBytes: Long get() = size.toLong() + freeInLast

    /** Appends the readable bytes of [content]. */
    fun append(content: ByteBuf) {
        while (content.isReadable) {
            if (freeInLast == 0) {
                freeInLast = size.coerceIn(SMALLEST_BLOCK, LARGEST_BLOCK)
                blocks += ByteArray(freeInLast)
            }
            val count = minOf(freeInLast, content.readableBytes())
            val last = blocks.last()
            content.readBytes(last, last.size - freeInLast, count)
            freeInLast -= count
            size += count
        }
    }

    /** Returns the body. */
    fun toByteArray(): ByteArray {
        if (size == 0) return HttpCall.NO_BODY
        val body = ByteArray(size)
        var offset = 0
        for (block in blocks) {
            val count = minOf(block.size, size - offset)
            block.copyInto(body, offset, 0, count)
            offset += count
        }
        return body
    }

    private companion object {
        const val SMALLEST_BLOCK = 512
        const val LARGEST_BLOCK = 65_536
    }
}
