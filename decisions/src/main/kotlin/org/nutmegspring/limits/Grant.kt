package org.nutmegspring.limits

import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId

/** Identifies a grant of one organisation's tokens. [number] is that of the receiver's [GrantRequest]. */
data class GrantKey(
    val receiver: InstanceId,
    val incarnation: Incarnation,
    val number: Long,
)

/**
 * A request to [holder] for tokens of one organisation.
 *
 * @property number identifies the grant request among those of this process
 * @property needed the tokens that a pending request still lacks
 * @property wanted the tokens to prefetch beyond [needed] for expected demand
 */
data class GrantRequest(
    val holder: InstanceId,
    val number: Long,
    val needed: Long,
    val wanted: Long,
)

/**
 * The reply to a [GrantRequest].
 *
 * @property number the number of the grant request
 * @property tokens the tokens granted, possibly zero
 * @property level the tokens that the holder still has available
 */
data class Grant(
    val number: Long,
    val tokens: Long,
    val level: Long,
)

/**
 * Reports to [holder] how many tokens of grant [number] the receiver has not spent and never will.
 *
 * @property unspent the total so far, not the difference from an earlier report; it never decreases
 */
data class GrantReturn(
    val holder: InstanceId,
    val number: Long,
    val unspent: Long,
)
