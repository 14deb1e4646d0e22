package org.nutmegspring.node.execution

import org.nutmegspring.execution.ClaimId
import org.nutmegspring.execution.sha256
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.node.routing.Work
import java.io.ByteArrayOutputStream

/** A service call that must run at most once across all requests with the same [key]. */
class KeyedCall(
    val work: Work.ServiceCall,
    val request: ServiceRequest,
    val key: IdempotencyKey,
) {
    /** Identifies the call in the store and in memory. */
    val id: ClaimId = ClaimId(work.organisation, key)

    /** The digest of service, method, path and body, which a repeated request must match. */
    val digest: String = digestOf(work, request)
}

private fun digestOf(work: Work.ServiceCall, request: ServiceRequest): String {
    val bytes = ByteArrayOutputStream()
    listOf(work.service.value, request.method, request.path).forEach {
        bytes.write(it.encodeToByteArray())
        bytes.write(0)
    }
    bytes.write(request.body)
    return sha256(bytes.toByteArray())
}
