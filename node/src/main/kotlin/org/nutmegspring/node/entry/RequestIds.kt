package org.nutmegspring.node.entry

import org.nutmegspring.identity.RequestId
import java.security.SecureRandom
import java.util.HexFormat

private const val REQUEST_ID_BYTES = 16
private val secureRandom = SecureRandom()

/** Returns a request id that was never used before. */
fun newRequestId(): RequestId {
    val bytes = ByteArray(REQUEST_ID_BYTES).also { secureRandom.nextBytes(it) }
    return RequestId(HexFormat.of().formatHex(bytes))
}
