package org.nutmegspring.prompt

import com.dynatrace.hash4j.hashing.Hashing
import org.nutmegspring.identity.ModelId

/** How many tokens one cached piece of a prompt holds. */
const val TOKENS_PER_PIECE: Int = 2_000

/** How many UTF-8 bytes of text count as one token. */
const val BYTES_PER_TOKEN: Int = 4

/** Returns the number of tokens of a text of [utf8Bytes] bytes. */
fun tokensOfBytes(utf8Bytes: Int): Long = ((utf8Bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN).toLong()

/** Returns the number of tokens of [text]. */
fun tokensOf(text: String): Long = tokensOfBytes(text.toByteArray().size)

/**
 * Returns the chained hashes of the whole pieces of [prompt] for [model], first piece first.
 *
 * Each hash covers the prompt up to the end of its piece, so two prompts share a hash only when they share that prefix.
 */
fun promptPieces(model: ModelId, prompt: String): List<Long> {
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
