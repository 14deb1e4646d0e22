package org.nutmegspring.prompt

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.ModelId

/** The number of tokens in one piece, the unit in which engines cache prompt prefixes. */
const val TOKENS_PER_PIECE: Int = 2_000

/** The number of UTF-8 bytes that are counted as one token. */
const val BYTES_PER_TOKEN: Int = 4

/** Returns the estimated number of tokens in [utf8Bytes] bytes of text, rounded up. */
fun countTokensInBytes(utf8Bytes: Int): Long = ((utf8Bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN).toLong()

/** Returns the estimated number of tokens in [text]. */
fun countTokens(text: String): Long = countTokensInBytes(text.toByteArray().size)

/**
 * Returns the chained hashes of the complete pieces of [prompt] for [model], first piece first. A trailing partial
 * piece has no hash.
 *
 * Each hash covers the model and the prompt up to the end of its piece, so two prompts share a hash only if they share
 * that prefix.
 */
fun hashPromptPieces(model: ModelId, prompt: String): List<Long> {
    val bytes = prompt.toByteArray()
    val pieceBytes = TOKENS_PER_PIECE * BYTES_PER_TOKEN
    val hasher = Hashing.wyhashFinal4()
    var chained = hasher.hashBytesToLong(model.value.toByteArray())
    return List(bytes.size / pieceBytes) { index ->
        val piece = hasher.hashBytesToLong(bytes, index * pieceBytes, pieceBytes)
        chained = hasher.hashStream().putLong(chained).putLong(piece).asLong
        chained
    }
}
