package org.nutmegspring.node.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.MissingRequiredPropertyException
import com.charleskorn.kaml.UnknownPropertyException
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerializationException

/**
 * Decodes the settings in [text], or returns the first problem found.
 *
 * @param name the file name to report in problems
 * @param applyDefaults merges defaults into the parsed file
 */
@OptIn(ExperimentalSerializationApi::class)
fun <T> decodeSettings(
    deserializer: DeserializationStrategy<T>,
    name: String,
    text: String,
    applyDefaults: (YamlNode) -> YamlNode = { it },
): Either<SettingsProblem, T> = try {
    val parsed = Yaml.default.parseToYamlNode(text)
    Yaml.default.decodeFromYamlNode(deserializer, applyDefaults(parsed)).right()
} catch (malformed: YamlException) {
    val innermost = generateSequence(malformed) { it.cause as? YamlException }.last()
    val path = innermost.path.toHumanReadableString().ifEmpty { "settings" }
    SettingsProblem(name, innermost.line, path, describe(innermost)).left()
} catch (incomplete: MissingFieldException) {
    SettingsProblem(name, null, "settings", "${incomplete.missingFields.joinToString { "'$it'" }} are missing").left()
} catch (malformed: SerializationException) {
    SettingsProblem(name, null, "settings", malformed.message.orEmpty()).left()
}

private fun describe(cause: YamlException): String = when (cause) {
    is UnknownPropertyException -> {
        val nearest = findNearestName(cause.propertyName, cause.validPropertyNames)
        "unknown setting '${cause.propertyName}'" + nearest?.let { "; did you mean '$it'?" }.orEmpty()
    }

    is MissingRequiredPropertyException -> {
        "'${cause.propertyName}' is missing"
    }

    else -> {
        cause.message
    }
}
