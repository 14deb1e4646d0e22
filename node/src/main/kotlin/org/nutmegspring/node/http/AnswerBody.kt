package org.nutmegspring.node.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import java.io.IOException
import java.net.ProtocolException

/**
 * Reads the body of the answer to [request] with [framing] and passes its bytes to [write] as they arrive, as a buffer
 * and the number of bytes in it. Throws an [IOException] when the connection ends before the body does. One that ends
 * before the request was sent whole does not end a body in order.
 */
internal suspend fun ByteReadChannel.readAnswerBody(
    framing: BodyFraming,
    request: RequestOutput,
    write: suspend (ByteArray, Int) -> Unit,
) {
    val buffer = ByteArray(BUFFER_BYTES)
    when (framing) {
        is BodyFraming.Length -> {
            readExactly(framing.bytes, buffer, write)
        }

        BodyFraming.Chunks -> {
            readChunks(buffer, write)
        }

        BodyFraming.Connection -> {
            readToEnd(buffer, write)
            if (!request.finish()) throw IOException("the connection ended within the request")
        }
    }
}

private suspend fun ByteReadChannel.readExactly(
    bytes: Long,
    buffer: ByteArray,
    write: suspend (ByteArray, Int) -> Unit,
) {
    var left = bytes
    while (left > 0) {
        val count = readAvailable(buffer, 0, minOf(left, buffer.size.toLong()).toInt())
        if (count < 0) throw createCutFailure()
        write(buffer, count)
        left -= count
    }
}

private suspend fun ByteReadChannel.readChunks(buffer: ByteArray, write: suspend (ByteArray, Int) -> Unit) {
    while (true) {
        val size = parseChunkSize(readWholeLine().decodeToString())
        if (size == 0L) break
        readExactly(size, buffer, write)
        if (readWholeLine().isNotEmpty()) throw ProtocolException("a chunk is longer than its size")
    }
    repeat(MAXIMUM_TRAILERS) { if (readWholeLine().isEmpty()) return }
    throw ProtocolException("too many trailers")
}

private fun parseChunkSize(line: String): Long = line.substringBefore(';').trim()
    .takeIf { text -> text.isNotEmpty() && text.all { it.isLetterOrDigit() } }
    ?.toLongOrNull(HEXADECIMAL)
    ?: throw ProtocolException("malformed size of a chunk")

private suspend fun ByteReadChannel.readToEnd(buffer: ByteArray, write: suspend (ByteArray, Int) -> Unit) {
    while (true) {
        val count = readAvailable(buffer)
        if (count < 0) break
        write(buffer, count)
    }
    closedCause?.let { throw it }
}

private const val BUFFER_BYTES = 8_192
private const val MAXIMUM_TRAILERS = 100
private const val HEXADECIMAL = 16
