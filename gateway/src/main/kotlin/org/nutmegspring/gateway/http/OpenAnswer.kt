package org.nutmegspring.gateway.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.channels.ReceiveChannel
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import java.io.ByteArrayOutputStream

/**
 * An answer that is being received.
 *
 * Callers must call [close]. For an incomplete answer it closes the connection, so that the endpoint stops working on
 * the request.
 */
class OpenAnswer internal constructor(
    private val connection: EndpointConnection,
    private val parts: ReceiveChannel<AnswerPart>,
    private val memory: AnswerMemory,
) : AutoCloseable {
    private var isComplete = false
    private var heldBytes = 0

    /**
     * Reads the rest of the answer of [address]. A body of more than [maximumBytes] is a failure, since an endpoint in
     * trouble may send bytes without end.
     */
    suspend fun readWhole(address: String, maximumBytes: Int = MAXIMUM_BODY_BYTES): Either<Failure, HttpAnswer> {
        val head = when (val first = next()) {
            is AnswerPart.Head -> first
            is AnswerPart.Broken -> return brokenAnswer(address, first.reason).left()
            is AnswerPart.Body, AnswerPart.End -> return brokenAnswer(address, "an answer without a head").left()
        }
        return readBody(address, maximumBytes).map { HttpAnswer(head.status, head.headers, it) }
    }

    /** Reads the body of the answer of [address], whose head has been read. [maximumBytes] is as for [readWhole]. */
    suspend fun readBody(address: String, maximumBytes: Int = MAXIMUM_BODY_BYTES): Either<Failure, ByteArray> {
        val body = ByteArrayOutputStream()
        var problem: String? = null
        while (problem == null) {
            when (val part = next()) {
                is AnswerPart.Body -> {
                    val size = body.size() + part.size
                    when {
                        size > maximumBytes -> problem = "a body larger than $maximumBytes bytes"
                        !tryHold(size) -> problem = "the answers that are being received hold too many bytes"
                        else -> body.write(part.bytes)
                    }
                }

                is AnswerPart.End -> {
                    return body.toByteArray().right()
                }

                is AnswerPart.Broken -> {
                    problem = part.reason
                }

                is AnswerPart.Head -> {
                    problem = "a second head in one answer"
                }
            }
        }
        return brokenAnswer(address, problem).left()
    }

    /**
     * Records that the caller holds [bytes] of this answer, instead of what it held before. Returns false, and changes
     * nothing, if all answers together would hold too many.
     */
    fun tryHold(bytes: Int): Boolean {
        if (!memory.tryChange(heldBytes, bytes)) return false
        heldBytes = bytes
        return true
    }

    private fun brokenAnswer(address: String, reason: String) =
        Failure(Step.READ_ANSWER, Peer(address), Effect.UNKNOWN, reason)

    /** Waits for the next part. [AnswerPart.End] and [AnswerPart.Broken] are the last one. */
    suspend fun next(): AnswerPart {
        val part = parts.receiveCatching().getOrNull() ?: AnswerPart.Broken("connection closed")
        if (part is AnswerPart.End) isComplete = true
        if (part is AnswerPart.Body) connection.recordTaken(parts, part)
        return part
    }

    /** Closes the connection if the answer is incomplete, and releases what was held of it. */
    override fun close() {
        memory.tryChange(heldBytes, 0)
        heldBytes = 0
        if (!isComplete) connection.close(parts)
    }

    /** Holds the default limit. */
    companion object {
        /** The largest body that is read as a whole, as large as the largest request that is accepted. */
        const val MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
    }
}
