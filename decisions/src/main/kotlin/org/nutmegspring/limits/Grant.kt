package org.nutmegspring.limits

import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId

/** Identifies a grant of one organisation's tokens. It bears the number of the receiver's ask. */
data class GrantKey(
    val receiver: InstanceId,
    val incarnation: Incarnation,
    val number: Long,
)

/**
 * Asks [holder] for tokens of one organisation.
 *
 * @property needed the tokens that a waiting request lacks
 * @property wanted the tokens that are welcome beyond [needed]
 */
data class GrantAsk(
    val holder: InstanceId,
    val number: Long,
    val needed: Long,
    val wanted: Long,
)

/** The answer to a [GrantAsk]. [level] is what the holder has left. */
data class Grant(
    val number: Long,
    val tokens: Long,
    val level: Long,
)

/** Tells [holder] how many tokens of grant [number] the receiver did not spend and never will. It only grows. */
data class GrantReturn(
    val holder: InstanceId,
    val number: Long,
    val unspent: Long,
)
