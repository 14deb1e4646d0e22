package org.nutmegspring.execution

import kotlinx.serialization.Serializable

/** One header of a recorded answer. */
@Serializable
public data class RecordedHeader(
    public val name: String,
    public val value: String,
)

/** The answer of a plain service, stored to be replayed for repeats of the same request. [body] is Base64-encoded. */
@Serializable
public data class RecordedAnswer(
    public val status: Int,
    public val headers: List<RecordedHeader>,
    public val body: String,
)
