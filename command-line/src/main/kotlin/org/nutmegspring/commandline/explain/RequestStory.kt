package org.nutmegspring.commandline.explain

/**
 * What happened to one request, over all instances.
 *
 * @property beliefs the last changes of what was believed before the request ended: the configuration, lost
 * dependencies, limits of endpoints, the endpoints that it met and its prompt parts, at each instance that served it
 * @property lines the lines of the request, in order of time
 * @property failuresNearby how often each endpoint that it met failed other requests within seconds of it
 */
internal class RequestStory(
    val beliefs: List<DecisionLine>,
    val lines: List<DecisionLine>,
    val failuresNearby: Map<String, Int>,
)

/** Returns the story of [request] in [log], or null when no line is about it. */
internal fun storyOf(request: String, log: List<DecisionLine>): RequestStory? {
    val lines = log.filter { it.fields["request"] == request }.sortedBy { it.atMilliseconds }
    if (lines.isEmpty()) return null
    val endpoints = lines.flatMap(::endpointsOf).toSet()
    return RequestStory(
        beliefs = beliefsBefore(lines, endpoints, promptPartsOf(lines), log),
        lines = lines,
        failuresNearby = endpoints.associateWith { failuresNearby(it, request, lines, log) },
    )
}

private fun endpointsOf(line: DecisionLine): List<String> =
    listOfNotNull(line.fields["endpoint"], line.fields["reader"]) +
        line.fields["endpoints"].orEmpty().split(',').filter { it.isNotEmpty() }

/** The prompt parts that the lines of a request name, in a field of their own or as the reason of its refusal. */
private fun promptPartsOf(lines: List<DecisionLine>): Set<String> =
    lines.flatMap { line ->
        listOf("promptParts", "reason").flatMap { line.fields[it].orEmpty().split(',', ' ') }
    }.toSet()

private fun beliefsBefore(
    lines: List<DecisionLine>,
    endpoints: Set<String>,
    promptParts: Set<String>,
    log: List<DecisionLine>,
): List<DecisionLine> {
    val ends = lines.groupBy { it.instance }.mapValues { (_, own) -> own.last().atMilliseconds }
    return log.filter { line -> ends[line.instance]?.let { line.atMilliseconds <= it } ?: false }
        .filter { subjectOf(it) != null }
        .filter { it.event != ENDPOINT_CHANGED || it.fields["endpoint"] in endpoints }
        .filter { it.event != PROMPT_PART_CHANGED || it.fields["promptPart"] in promptParts }
        .sortedBy { it.atMilliseconds }
        .associateBy { it.instance to subjectOf(it) }
        .values
        .filter { it.event != "dependency regained" }
        .sortedBy { it.atMilliseconds }
}

/** What a line changes the belief about; a later line about the same replaces it. Null when it changes none. */
private fun subjectOf(line: DecisionLine): String? = when (line.event) {
    "configuration applied" -> "configuration"
    "dependency lost", "dependency regained" -> "dependency ${line.fields["dependency"]}"
    "phase changed" -> "phase"
    ENDPOINT_CHANGED -> "endpoint ${line.fields["endpoint"]}"
    "endpoint limit changed" -> "limit of ${line.fields["endpoint"]}"
    PROMPT_PART_CHANGED -> "prompt part ${line.fields["promptPart"]}"
    else -> null
}

private fun failuresNearby(
    endpoint: String,
    request: String,
    lines: List<DecisionLine>,
    log: List<DecisionLine>,
): Int {
    val near = lines.first().atMilliseconds - NEARBY_MILLISECONDS..lines.last().atMilliseconds + NEARBY_MILLISECONDS
    return log.count {
        it.event == "attempt failed" && it.fields["endpoint"] == endpoint && it.fields["request"] != request &&
            it.atMilliseconds in near
    }
}

private const val ENDPOINT_CHANGED = "endpoint changed"
private const val PROMPT_PART_CHANGED = "prompt part changed"

/** Endpoints that fail are left out within seconds; a failure further away has another cause. */
private const val NEARBY_MILLISECONDS = 3_000L
