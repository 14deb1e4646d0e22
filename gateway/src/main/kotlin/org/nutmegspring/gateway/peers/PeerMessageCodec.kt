package org.nutmegspring.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/**
 * Encodes messages as CBOR with numbers for field names, which are a third of a report when spelled out.
 *
 * A question and an answer follow one byte that no CBOR map begins with.
 */
@OptIn(ExperimentalSerializationApi::class)
object PeerMessageCodec {
    private const val QUESTION: Byte = 1
    private const val ANSWER: Byte = 2

    private val cbor = Cbor {
        ignoreUnknownKeys = true
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

    /** Returns the bytes of [message]. */
    fun encode(message: PeerMessage): ByteArray = when (message) {
        is PeerMessage.Report -> {
            cbor.encodeToByteArray(PeerReport.serializer(), message.report)
        }

        is PeerMessage.Question -> {
            byteArrayOf(QUESTION) + cbor.encodeToByteArray(FeedQuestion.serializer(), message.question)
        }

        is PeerMessage.Answer -> {
            byteArrayOf(ANSWER) + cbor.encodeToByteArray(FeedAnswer.serializer(), message.answer)
        }
    }

    /**
     * Returns the message in [bytes].
     *
     * @throws IllegalArgumentException if they are no message
     */
    fun decode(bytes: ByteArray): PeerMessage = when (bytes.firstOrNull()) {
        QUESTION -> PeerMessage.Question(decodeRest(FeedQuestion.serializer(), bytes))
        ANSWER -> PeerMessage.Answer(decodeRest(FeedAnswer.serializer(), bytes))
        else -> PeerMessage.Report(cbor.decodeFromByteArray(PeerReport.serializer(), bytes))
    }

    private fun <T> decodeRest(serializer: KSerializer<T>, bytes: ByteArray): T =
        cbor.decodeFromByteArray(serializer, bytes.copyOfRange(1, bytes.size))
}
