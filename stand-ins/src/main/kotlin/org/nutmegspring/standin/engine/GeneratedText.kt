package org.nutmegspring.standin.engine

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.prompt.countTokens

/** The text that an engine generates for a prompt. It depends on the prompt alone, so any answer can be checked. */
class GeneratedText(prompt: String) {
    private val seed = Hashing.wyhashFinal4().hashCharsToLong(prompt)

    /** The number of tokens of the prompt. */
    val promptTokens: Long = countTokens(prompt)

    /** The number of tokens after which the text ends by itself. */
    val length: Long = LEAST_TOKENS + Math.floorMod(seed, VARYING_TOKENS)

    /** Returns the token at [position], counted from 0. */
    fun token(position: Long): String {
        val hash = Hashing.wyhashFinal4().hashStream().putLong(seed).putLong(position).asLong
        return WORDS[Math.floorMod(hash, WORDS.size)] + " "
    }

    /** Returns the whole text when at most [maximumTokens] may be generated. */
    fun text(maximumTokens: Long): String = (0 until minOf(length, maximumTokens)).joinToString("") { token(it) }

    private companion object {
        const val LEAST_TOKENS = 16L
        const val VARYING_TOKENS = 48L
        val WORDS = listOf(
            "coat",
            "tag",
            "foyer",
            "ledger",
            "venue",
            "rider",
            "fare",
            "shift",
            "log",
            "crew",
            "summer",
            "ticket",
            "hall",
            "desk",
            "queue",
            "short",
            "long",
            "late",
            "early",
            "found",
            "lost",
            "held",
            "sent",
            "again",
        )
    }
}
