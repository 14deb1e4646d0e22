package org.nutmegspring.commandline.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/**
 * One line of a gateway's log.
 *
 * @property atMilliseconds when it was written, in milliseconds since the epoch, on the clock of its instance
 * @property instance the instance that wrote it
 * @property event the name of the event
 * @property fields the fields of the event, in order
 */
internal data class DecisionLine(
    val atMilliseconds: Long,
    val instance: String,
    val event: String,
    val fields: Map<String, String>,
)

/**
 * Reads [text], a line of the log file called [file]. Returns null for a line of another kind.
 *
 * Collectors put the name of the instance before the object; without one, the file names the instance.
 */
internal fun readDecisionLine(text: String, file: String): DecisionLine? {
    val start = text.indexOf('{')
    val line = (if (start < 0) null else readObject(text.substring(start))) ?: return null
    val at = (line["timestamp"] as? JsonPrimitive)?.longOrNull ?: return null
    val event = (line["formattedMessage"] as? JsonPrimitive)?.content ?: return null
    val instance = text.substring(0, start).trim().substringAfterLast(' ').ifEmpty { file }
    return DecisionLine(at, instance, event, readFields(line["kvpList"]))
}

/** Returns the object, or null when [text] is something else: files hold lines of other programs too. */
private fun readObject(text: String): JsonObject? = try {
    Json.parseToJsonElement(text) as? JsonObject
} catch (_: SerializationException) {
    null
}

private fun readFields(pairs: Any?): Map<String, String> = (pairs as? JsonArray).orEmpty()
    .filterIsInstance<JsonObject>()
    .flatMap { it.entries }
    .mapNotNull { (name, value) -> (value as? JsonPrimitive)?.let { name to it.content } }
    .toMap()
