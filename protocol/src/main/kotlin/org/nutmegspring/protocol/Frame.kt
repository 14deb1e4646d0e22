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
    /** Identifies the sender. Each side sends it once, as the first frame of the connection. */
    @Serializable
    @SerialName("h")
    data class Hello(val instance: InstanceId, val incarnation: Incarnation) : Frame

    /** Carries an encoded [InnerRequest]. The sending process never reuses an [id]. */
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

/** The encoding of frames and messages. Ignores unknown fields, so that instances of different versions can coexist. */
@OptIn(ExperimentalSerializationApi::class)
internal val innerCbor: Cbor = Cbor { ignoreUnknownKeys = true }
