package org.nutmegspring.execution

import org.nutmegspring.identity.RequestId

/**
 * Whether an answer that carries the request id [echoed] belongs to the request [expected].
 *
 * Endpoints of plain services need not echo the id. An answer without one is matched by its connection alone.
 */
fun isOwnAnswer(expected: RequestId, echoed: String?): Boolean = echoed == null || echoed == expected.value
