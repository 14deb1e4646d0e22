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

/**
 * Returns the settings that [text] holds, or what is wrong with it.
 *
 * @param name the name of the file, for problems
 * @param complete adds what the file leaves out
 */
fun <T> decodeSettings(
    deserializer: DeserializationStrategy<T>,
    name: String,
    text: String,
    complete: (YamlNode) -> YamlNode = { it },
): Either<SettingsProblem, T> = try {
    val given = Yaml.default.parseToYamlNode(text)
    Yaml.default.decodeFromYamlNode(deserializer, complete(given)).right()
} catch (malformed: YamlException) {
    val innermost = generateSequence(malformed) { it.cause as? YamlException }.last()
    val path = innermost.path.toHumanReadableString().ifEmpty { "settings" }
    SettingsProblem(name, innermost.line, path, describe(innermost)).left()
}

private fun describe(cause: YamlException): String = when (cause) {
    is UnknownPropertyException -> {
        val nearest = nearestName(cause.propertyName, cause.validPropertyNames)
        "unknown setting '${cause.propertyName}'" + nearest?.let { "; did you mean '$it'?" }.orEmpty()
    }

    is MissingRequiredPropertyException -> {
        "'${cause.propertyName}' is missing"
    }

    else -> {
        cause.message
    }
}
