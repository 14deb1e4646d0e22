package org.nutmegspring.node.execution

import org.nutmegspring.execution.RecordedAnswer
import org.nutmegspring.execution.RecordedHeader
import org.nutmegspring.node.engine.Header
import org.nutmegspring.node.engine.ServiceAnswer
import java.util.Base64

/** Returns [answer] in the form in which it is kept and passed between instances. */
internal fun recordedAnswer(answer: ServiceAnswer): RecordedAnswer = RecordedAnswer(
    answer.status,
    answer.headers.map { RecordedHeader(it.name, it.value) },
    Base64.getEncoder().encodeToString(answer.body),
)

/** Returns the answer that [recorded] describes. */
internal fun serviceAnswer(recorded: RecordedAnswer): ServiceAnswer = ServiceAnswer(
    recorded.status,
    recorded.headers.map { Header(it.name, it.value) },
    Base64.getDecoder().decode(recorded.body),
)
