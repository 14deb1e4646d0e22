package org.nutmegspring.execution

/** How to handle a token of an answer. */
enum class TokenDisposition {
    /** The token is the next in sequence. */
    DELIVER,

    /** The token was already delivered. */
    SKIP,

    /** Preceding tokens are missing, so the answer cannot continue. */
    GAP,
}

/** Tracks token positions of one answer across attempts, so that no token is delivered twice or omitted. */
class TokenSequence {
    private var positionKnown = true

    /** The number of delivered tokens. */
    var delivered: Long = 0
        private set

    /** The part of the answer that was delivered to the caller. */
    val partialAnswer: PartialAnswer get() = PartialAnswer(delivered, positionKnown)

    /** Returns how to handle the token at [position], counted from 1 or 0 if unknown, and counts it if delivered. */
    fun accept(position: Long): TokenDisposition {
        if (position <= 0L) return deliverUnnumbered()
        return when {
            position <= delivered -> TokenDisposition.SKIP
            position > delivered + 1 -> TokenDisposition.GAP
            else -> deliver()
        }
    }

    private fun deliverUnnumbered(): TokenDisposition {
        positionKnown = false
        return deliver()
    }

    private fun deliver(): TokenDisposition {
        delivered++
        return TokenDisposition.DELIVER
    }
}
