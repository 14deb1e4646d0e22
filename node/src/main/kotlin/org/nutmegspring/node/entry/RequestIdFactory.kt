package org.nutmegspring.node.entry

import org.nutmegspring.identity.RequestId
import java.security.SecureRandom
import java.util.HexFormat

private const val REQUEST_ID_BYTES = 16
private val secureRandom = SecureRandom()

/** Returns a new random request id of 128 bits, which makes a collision practically impossible. */
fun createRequestId(): RequestId {
    val bytes = ByteArray(REQUEST_ID_BYTES).also { secureRandom.nextBytes(it) }
    return RequestId(HexFormat.of().formatHex(bytes))
}
