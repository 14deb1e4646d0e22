package org.nutmegspring.node.http

/**
 * Checks the lines of the head of an HTTP/1.1 answer, in order, as RFC 9112 defines them.
 *
 * The parsers of HTTP libraries read answers leniently. What one of them makes of a malformed line is not what the next
 * reader does, which may then take another status, another field or another end of the body for that of the answer.
 */
class HeadLines {
    private var hasStatusLine = false

    /** Whether the empty line that ends the head was added. */
    var isComplete: Boolean = false
        private set

    /** Adds [line] without its end. Returns why it is malformed, or null. Empty lines before the first one are skipped. */
    fun add(line: ByteArray): String? = when {
        line.isEmpty() -> null.also { isComplete = hasStatusLine }

        hasStatusLine -> null

        else -> (if (isStatusLine(line)) null else "a malformed status line: ${show(line)}").also {
            hasStatusLine = true
        }
    }

    private fun isStatusLine(line: ByteArray): Boolean = STATUS_LINE.matches(String(line, Charsets.ISO_8859_1))

    private fun show(line: ByteArray): String = String(line, 0, minOf(line.size, SHOWN_BYTES), Charsets.ISO_8859_1)
        .map { if (it in ' '..'~') it else '?' }.joinToString("", "'", "'")

    private companion object {
        const val SHOWN_BYTES = 60

        /** A status of three digits, from 100 to 599, and any reason without control characters. */
        val STATUS_LINE = Regex("""HTTP/1\.[01] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?""")
    }
}
