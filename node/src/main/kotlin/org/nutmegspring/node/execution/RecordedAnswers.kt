package org.nutmegspring.node.execution

import org.nutmegspring.execution.RecordedAnswer
import org.nutmegspring.execution.RecordedHeader
import org.nutmegspring.node.engine.Header
import org.nutmegspring.node.engine.ServiceAnswer
import java.util.Base64

/** Converts [answer] to the form that is stored and sent between instances. */
internal fun createRecordedAnswer(answer: ServiceAnswer): RecordedAnswer = RecordedAnswer(
    answer.status,
    answer.headers.map { RecordedHeader(it.name, it.value) },
    Base64.getEncoder().encodeToString(answer.body),
)

/** Converts [recorded] back to an answer. */
internal fun createServiceAnswer(recorded: RecordedAnswer): ServiceAnswer = ServiceAnswer(
    recorded.status,
    recorded.headers.map { Header(it.name, it.value) },
    Base64.getDecoder().decode(recorded.body),
)
