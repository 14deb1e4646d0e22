package org.nutmegspring.node.configuration

import org.nutmegspring.identity.KeyHash
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

private const val SECRET_PREFIX = "nsk_"
private const val SECRET_BYTES = 32

/** Generates a key secret. It is shown to its holder once and never stored. */
fun generateKeySecret(random: SecureRandom = SecureRandom()): String {
    val bytes = ByteArray(SECRET_BYTES).also(random::nextBytes)
    return SECRET_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
}

/** Returns the SHA-256 digest that identifies [secret]; only the digest is stored. */
fun hashSecret(secret: String): KeyHash {
    val digest = MessageDigest.getInstance("SHA-256").digest(secret.toByteArray())
    return KeyHash(HexFormat.of().formatHex(digest))
}
