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

/** Reads and checks settings files. */
class SettingsLoader(private val rules: SettingsRuleProvider = SettingsRuleProvider()) {
    /** Returns the settings in [file] over the defaults, or everything that is wrong with them. */
    fun load(file: File): Either<List<SettingsProblem>, Settings> {
        val text = try {
            file.readText()
        } catch (unreadable: IOException) {
            return listOf(SettingsProblem(file.path, null, "file", "cannot be read: ${unreadable.message}")).left()
        }
        return parse(file.path, text)
    }

    /** Returns the settings in [text], which stands in the file called [name]. */
    fun parse(name: String, text: String): Either<List<SettingsProblem>, Settings> = either {
        val settings = decode(name, text).mapLeft { listOf(it) }.bind()
        val problems = rules.rules.flatMap { rule -> rule.check(settings) }
        if (problems.isNotEmpty()) {
            raise(problems.map { SettingsProblem(name, lineOf(text, it.name), it.name, it.message) })
        }
        settings
    }

    private fun decode(name: String, text: String): Either<SettingsProblem, Settings> =
        decodeSettings(Settings.serializer(), name, text) { merge(defaults, it) }

    private fun lineOf(text: String, path: String): Int? = try {
        val root = Yaml.default.parseToYamlNode(text)
        path.split('.').fold<String, YamlNode?>(root) { node, key -> (node as? YamlMap)?.get(key) }?.location?.line
    } catch (_: YamlException) {
        null
    }

    private fun merge(base: YamlNode, over: YamlNode): YamlNode {
        if (base !is YamlMap || over !is YamlMap) return over
        val names = over.entries.keys.map { it.content }.toSet()
        val kept = base.entries.filterKeys { it.content !in names }
        val replaced = over.entries.mapValues { (key, node) ->
            base.get<YamlNode>(key.content)?.let { merge(it, node) } ?: node
        }
        return YamlMap(kept + replaced, over.path)
    }

    private companion object {
        val defaults: YamlNode by lazy {
            val resource = checkNotNull(SettingsLoader::class.java.getResource("default-settings.yml"))
            Yaml.default.parseToYamlNode(resource.readText())
        }
    }
}
