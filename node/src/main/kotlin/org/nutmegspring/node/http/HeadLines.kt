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

    /** Adds [line] without its end. Returns why it is malformed, or null. Empty lines before the first are skipped. */
    fun add(line: ByteArray): String? = when {
        line.isEmpty() -> null.also { isComplete = hasStatusLine }

        hasStatusLine -> if (isField(line)) null else "a malformed field: ${show(line)}"

        else -> (if (isStatusLine(line)) null else "a malformed status line: ${show(line)}").also {
            hasStatusLine = true
        }
    }

    private fun isStatusLine(line: ByteArray): Boolean = STATUS_LINE.matches(String(line, Charsets.ISO_8859_1))

    /** A line that begins with a blank, which once continued the field before, is none either. */
    private fun isField(line: ByteArray): Boolean {
        val colon = line.indexOf(COLON)
        return colon > 0 && (0 until colon).all { isNameByte(line[it]) } &&
            (colon + 1 until line.size).all { isTextByte(line[it]) }
    }

    private fun show(line: ByteArray): String = String(line, 0, minOf(line.size, SHOWN_BYTES), Charsets.ISO_8859_1)
        .map { if (it in ' '..'~') it else '?' }.joinToString("", "'", "'")

    private companion object {
        const val TAB = '\t'.code.toByte()
        const val DELETE: Byte = 0x7f
        const val FIRST_VISIBLE_BYTE = 0x20
        const val BYTE_MASK = 0xff
        const val COLON = ':'.code.toByte()
        const val SHOWN_BYTES = 60

        /** A status of three digits, from 100 to 599, and any reason without control characters. */
        val STATUS_LINE = Regex("""HTTP/1\.[01] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?""")
        val NAME_CHARACTERS = ('a'..'z') + ('A'..'Z') + ('0'..'9') + "!#$%&'*+-.^_`|~".toList()
        val NAME_BYTES = BooleanArray(BYTE_MASK + 1) { it.toChar() in NAME_CHARACTERS }

        fun isNameByte(byte: Byte): Boolean = NAME_BYTES[byte.toInt() and BYTE_MASK]

        /** Bytes above those of ASCII have no meaning in HTTP, but are permitted. */
        fun isTextByte(byte: Byte): Boolean =
            byte == TAB || ((byte.toInt() and BYTE_MASK) >= FIRST_VISIBLE_BYTE && byte != DELETE)
    }
}
