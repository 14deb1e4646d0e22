package org.nutmegspring.gateway.http

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

/**
 * Creates what bounds the bytes that one connection reads in a turn of the event loop, after which the other
 * connections and tasks have theirs. It also bounds what is received beyond the part that may be decoded.
 */
internal fun createReadAllocator(): RecvByteBufAllocator =
    AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, FIRST_READ_BYTES, MAXIMUM_READ_BYTES)
        .maxMessagesPerRead(READS_PER_TURN)

private const val MINIMUM_READ_BYTES = 512
private const val FIRST_READ_BYTES = 2048
private const val MAXIMUM_READ_BYTES = 16_384

/** An answer and bytes that follow it are mostly read in one turn, so that these are noticed. */
private const val READS_PER_TURN = 4
