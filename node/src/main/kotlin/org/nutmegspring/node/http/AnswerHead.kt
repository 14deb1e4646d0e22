package org.nutmegspring.node.http

import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByte
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import java.io.EOFException
import java.net.ProtocolException

/** The head of an HTTP answer, of which every byte has arrived. */
internal class AnswerHead(
    val status: HttpStatusCode,
    val headers: Headers,
)

/** Where the body of an HTTP answer ends. */
internal sealed interface BodyFraming {
    /** After [bytes] bytes. */
    data class Length(val bytes: Long) : BodyFraming

    /** After the last chunk. */
    data object Chunks : BodyFraming

    /** Where the connection is closed in order. */
    data object Connection : BodyFraming
}

/**
 * Reads the head of an answer and skips interim heads. Throws an [java.io.IOException] when the connection ends before
 * the empty line at the end of the head, or when the head is malformed.
 */
internal suspend fun ByteReadChannel.readAnswerHead(): AnswerHead {
    repeat(MAXIMUM_HEADS) {
        val head = readHead()
        if (head.status == HttpStatusCode.SwitchingProtocols) throw ProtocolException("unexpected change of protocol")
        if (head.status.value >= FIRST_FINAL_STATUS) return head
    }
    throw ProtocolException("too many interim answers")
}

private suspend fun ByteReadChannel.readHead(): AnswerHead {
    // Ktor's parser takes the end of the connection for the end of the head.
    val lines = readHeadLines()
    return try {
        checkNotNull(parseResponse(ByteReadChannel(lines))) { "no status" }.use {
            val headers = Headers.build {
                it.headers.offsets().forEach { offset ->
                    append(it.headers.nameAtOffset(offset).toString(), it.headers.valueAtOffset(offset).toString())
                }
            }
            AnswerHead(HttpStatusCode(it.status, it.statusText.toString()), headers)
        }
    } catch (malformed: IllegalArgumentException) {
        throw ProtocolException("malformed head of an answer: ${malformed.message}")
    } catch (malformed: IllegalStateException) {
        throw ProtocolException("malformed head of an answer: ${malformed.message}")
    }
}

private suspend fun ByteReadChannel.readHeadLines(): ByteArray {
    val bytes = Buffer()
    val lines = HeadLines()
    while (!lines.isComplete) {
        val line = readWholeLine()
        lines.add(line)?.let { throw ProtocolException(it) }
        bytes.write(line)
        bytes.write(LINE_END)
        if (bytes.size > MAXIMUM_HEAD_BYTES) throw ProtocolException("the head of the answer is too long")
    }
    return bytes.readByteArray()
}

/** Reads a line without its end, CRLF or LF, which must have arrived. */
internal suspend fun ByteReadChannel.readWholeLine(): ByteArray {
    val line = Buffer()
    while (line.size <= MAXIMUM_HEAD_BYTES) {
        val byte = readByteOrFail()
        if (byte == LINE_FEED) {
            val bytes = line.readByteArray()
            return if (bytes.lastOrNull() == CARRIAGE_RETURN) bytes.copyOf(bytes.size - 1) else bytes
        }
        line.writeByte(byte)
    }
    throw ProtocolException("a line of the answer is too long")
}

private suspend fun ByteReadChannel.readByteOrFail(): Byte = try {
    readByte()
} catch (_: EOFException) {
    throw createCutFailure()
}

internal fun createCutFailure() = EOFException("the connection ended within the answer")

/** Returns where the body of the answer to a request of [method] ends. */
internal fun AnswerHead.framing(method: HttpMethod): BodyFraming {
    if (method == HttpMethod.Head || status in STATUSES_WITHOUT_BODY) return BodyFraming.Length(0)
    val encoding = headers.getAll(HttpHeaders.TransferEncoding)?.joinToString()
    if (encoding != null) {
        val isInChunks = encoding.trim().equals("chunked", ignoreCase = true)
        if (!isInChunks || HttpHeaders.ContentLength in headers) {
            throw ProtocolException("unknown transfer encoding $encoding, or a length beside it")
        }
        return BodyFraming.Chunks
    }
    val lengths = headers.getAll(HttpHeaders.ContentLength)?.flatMap { it.split(',') }?.map { it.trim() }?.toSet()
    if (lengths == null) return BodyFraming.Connection
    val length = lengths.singleOrNull()?.takeIf { text -> text.all { it in '0'..'9' } }?.toLongOrNull()
    return BodyFraming.Length(length ?: throw ProtocolException("malformed length ${lengths.joinToString()}"))
}

private val STATUSES_WITHOUT_BODY = setOf(HttpStatusCode.NoContent, HttpStatusCode.NotModified)
private const val FIRST_FINAL_STATUS = 200
private const val MAXIMUM_HEADS = 16
private const val MAXIMUM_HEAD_BYTES = 65_536L
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private val LINE_END = "\r\n".encodeToByteArray()
