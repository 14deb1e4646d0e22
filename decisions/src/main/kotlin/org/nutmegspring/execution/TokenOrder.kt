package org.nutmegspring.execution

/** What to do with a token of an answer. */
enum class TokenVerdict {
    /** It is the next one. */
    DELIVER,

    /** The caller has it already. */
    SKIP,

    /** Tokens before it are missing, so the answer cannot go on. */
    GAP,
}

/** Follows the positions of one answer over several attempts, so that no token is delivered twice or left out. */
class TokenOrder {
    private var positionKnown = true

    /** How many tokens were delivered. */
    var delivered: Long = 0
        private set

    /** What the caller has. */
    val partial: PartialAnswer get() = PartialAnswer(delivered, positionKnown)

    /** Judges the token at [position], counted from 1, or at an unknown position when it is 0. */
    fun judge(position: Long): TokenVerdict {
        if (position <= 0L) return unnumbered()
        return when {
            position <= delivered -> TokenVerdict.SKIP
            position > delivered + 1 -> TokenVerdict.GAP
            else -> deliver()
        }
    }

    private fun unnumbered(): TokenVerdict {
        positionKnown = false
        return deliver()
    }

    private fun deliver(): TokenVerdict {
        delivered++
        return TokenVerdict.DELIVER
    }
}
