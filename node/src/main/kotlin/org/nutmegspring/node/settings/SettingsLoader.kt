package org.nutmegspring.node.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import java.io.File
import java.io.IOException

/** Loads and validates settings files. */
class SettingsLoader(private val rules: SettingsRuleProvider = SettingsRuleProvider()) {
    /** Returns the settings in [file] merged over the defaults, or the problems found. */
    fun load(file: File): Either<List<SettingsProblem>, Settings> {
        val text = try {
            file.readText()
        } catch (unreadable: IOException) {
            return listOf(SettingsProblem(file.path, null, "file", "cannot be read: ${unreadable.message}")).left()
        }
        return parse(file.path, text)
    }

    /** Returns the settings in [text], the content of the file called [name], or the problems found. */
    fun parse(name: String, text: String): Either<List<SettingsProblem>, Settings> = either {
        val settings = decode(name, text).mapLeft { listOf(it) }.bind()
        val problems = rules.rules.flatMap { rule -> rule.check(settings) }
        if (problems.isNotEmpty()) {
            raise(problems.map { SettingsProblem(name, findLine(text, it.name), it.name, it.message) })
        }
        settings
    }

    private fun decode(name: String, text: String): Either<SettingsProblem, Settings> =
        decodeSettings(Settings.serializer(), name, text) { merge(defaults, it) }

    private fun findLine(text: String, path: String): Int? = try {
        val root = Yaml.default.parseToYamlNode(text)
        path.split('.').fold<String, YamlNode?>(root) { node, key -> (node as? YamlMap)?.get(key) }?.location?.line
    } catch (_: YamlException) {
        null
    }

    private fun merge(base: YamlNode, overrides: YamlNode): YamlNode {
        if (base !is YamlMap || overrides !is YamlMap) return overrides
        val names = overrides.entries.keys.map { it.content }.toSet()
        val retained = base.entries.filterKeys { it.content !in names }
        val replaced = overrides.entries.mapValues { (key, node) ->
            base.get<YamlNode>(key.content)?.let { merge(it, node) } ?: node
        }
        return YamlMap(retained + replaced, overrides.path)
    }

    private companion object {
        val defaults: YamlNode by lazy {
            val resource = checkNotNull(SettingsLoader::class.java.getResource("default-settings.yml"))
            Yaml.default.parseToYamlNode(resource.readText())
        }
    }
}
