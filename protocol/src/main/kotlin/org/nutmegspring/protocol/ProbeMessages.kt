package org.nutmegspring.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Checks that the receiver replies. */
@Serializable
@SerialName("probe")
data class ProbeRequest(val text: String) : InnerRequest

/** The reply to a [ProbeRequest]. */
@Serializable
@SerialName("probed")
data class ProbeReply(val text: String) : InnerReply
