package org.nutmegspring.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId

/** A unit of transmission on a connection between two instances. */
@Serializable
internal sealed interface Frame {
    /** Names the sender. Each side sends it once, before anything else. */
    @Serializable
    @SerialName("h")
    data class Hello(val instance: InstanceId, val incarnation: Incarnation) : Frame

    /** Carries an encoded [InnerRequest]. The [id] is used once in the life of the sending process. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("q")
    class Request(
        val id: Long,
        val traceParent: String?,
        @ByteString val body: ByteArray,
    ) : Frame

    /** Carries the encoded [InnerReply] to the request with the same [id]. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("a")
    class Reply(
        val id: Long,
        @ByteString val body: ByteArray,
    ) : Frame
}

/** The encoding of frames and of the messages in them. Unknown fields are skipped, so that versions can be mixed. */
@OptIn(ExperimentalSerializationApi::class)
internal val innerCbor: Cbor = Cbor { ignoreUnknownKeys = true }
