package org.nutmegspring.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.nutmegspring.currency.FeedStatement
import org.nutmegspring.platform.StoreEra
import kotlin.time.Duration.Companion.milliseconds

/** Asks a relay what it knows of the feeds of the store. [nonce] is of this question only. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class FeedQuestion(
    @CborLabel(1) val nonce: Long,
)

/** The answer to the question with [nonce], with a statement for each feed by its name. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class FeedAnswer(
    @CborLabel(1) val nonce: Long,
    @CborLabel(2) val statements: Map<String, FeedStatementEntry> = emptyMap(),
)

/** A [FeedStatement] in a message. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class FeedStatementEntry(
    @CborLabel(1) val era: Long,
    @CborLabel(2) val quietSince: Long,
    @CborLabel(3) val position: Long,
    @CborLabel(4) val ageMilliseconds: Long,
    @CborLabel(5) val regainedAgeMilliseconds: Long? = null,
) {
    /** Returns the statement. A part of a millisecond of its age was cut off and is added again. */
    fun toStatement() = FeedStatement(
        StoreEra(era),
        quietSince,
        position,
        (ageMilliseconds.coerceAtLeast(0) + 1).milliseconds,
        regainedAgeMilliseconds?.milliseconds,
    )

    /** Makes entries. */
    companion object {
        /** Returns [statement] as an entry. */
        fun of(statement: FeedStatement) = FeedStatementEntry(
            statement.era.value,
            statement.quietSince,
            statement.position,
            statement.age.inWholeMilliseconds,
            statement.regainedAge?.inWholeMilliseconds,
        )
    }
}

/** A message between instances. */
sealed interface PeerMessage {
    /** The state of the sender. */
    class Report(val report: PeerReport) : PeerMessage

    /** A question to a relay. */
    class Question(val question: FeedQuestion) : PeerMessage

    /** The answer of a relay. */
    class Answer(val answer: FeedAnswer) : PeerMessage
}
