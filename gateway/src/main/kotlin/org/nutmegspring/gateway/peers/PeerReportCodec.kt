package org.nutmegspring.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Encodes reports as CBOR with numbers for field names, which are a third of a report when spelled out. */
@OptIn(ExperimentalSerializationApi::class)
object PeerReportCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

    /** Returns the bytes of [report]. */
    fun encode(report: PeerReport): ByteArray = cbor.encodeToByteArray(PeerReport.serializer(), report)

    /**
     * Returns the report in [bytes].
     *
     * @throws IllegalArgumentException if they are not a report
     */
    fun decode(bytes: ByteArray): PeerReport = cbor.decodeFromByteArray(PeerReport.serializer(), bytes)
}
