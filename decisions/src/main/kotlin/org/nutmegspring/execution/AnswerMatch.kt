package org.nutmegspring.execution

import org.nutmegspring.identity.RequestId

/**
 * Whether an answer that carries the id [echoed] belongs to the request [expected].
 *
 * Endpoints of plain services need not repeat the id; an answer without one is matched by its connection alone.
 */
fun isOwnAnswer(expected: RequestId, echoed: String?): Boolean = echoed == null || echoed == expected.value
