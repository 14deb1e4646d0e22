package org.nutmegspring.node.settings

/** A problem that a rule found in the setting [name]. */
data class RuleFinding(
    val name: String,
    val message: String,
)

/** Validates settings beyond what their types can express. */
fun interface SettingsRule {
    /** Returns the problems found in [settings]. */
    fun check(settings: Settings): List<RuleFinding>
}

/** Provides the validation rules. */
class SettingsRuleProvider {
    /** All rules, in the order in which their findings are reported. */
    val rules: List<SettingsRule> = listOf(
        IdentifierRule(),
        AddressRule(),
        PositiveNumberRule(),
        OperatorRule(),
    )
}

/** Ids are part of object keys, so they contain only letters, digits, '-', '_' and '.'. */
class IdentifierRule : SettingsRule {
    override fun check(settings: Settings): List<RuleFinding> = listOf(
        "instance.id" to settings.instance.id.value,
        "instance.dataCentre" to settings.instance.dataCentre.value,
    ).filterNot { (_, value) -> PATTERN.matches(value) }
        .map { (name, value) -> RuleFinding(name, "'$value' must be 1 to 64 letters, digits, '-', '_' or '.'") }

    private companion object {
        val PATTERN = Regex("[A-Za-z0-9._-]{1,64}")
    }
}

/** Addresses consist of an IPv4 address and a port. */
class AddressRule : SettingsRule {
    override fun check(settings: Settings): List<RuleFinding> = listOf(
        "callers.address" to settings.callers.address,
        "inner.address" to settings.inner.address,
        "platform.address" to settings.platform.address,
    ).filterNot { (_, value) -> isAddress(value) }
        .map { (name, value) -> RuleFinding(name, "'$value' must be an IP address and a port, such as 10.0.0.1:8080") }

    private fun isAddress(value: String): Boolean {
        val match = PATTERN.matchEntire(value) ?: return false
        val hasValidOctets = match.groupValues[1].split('.').all { it.toInt() <= MAXIMUM_OCTET }
        return hasValidOctets && match.groupValues[2].toInt() <= MAXIMUM_PORT
    }

    private companion object {
        const val MAXIMUM_OCTET = 255
        const val MAXIMUM_PORT = 65_535
        val PATTERN = Regex("""(\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}):(\d{1,5})""")
    }
}

/** Durations and sizes are positive, and the default number of output tokens does not exceed the maximum. */
class PositiveNumberRule : SettingsRule {
    override fun check(settings: Settings): List<RuleFinding> {
        val generation = settings.generation
        val findings = listPositiveSettings(settings).filter { (_, value) -> value <= 0 }
            .map { (name, value) -> RuleFinding(name, "$value must be greater than 0") }
        return if (generation.defaultMaximumTokens <= generation.largestMaximumTokens) {
            findings
        } else {
            findings + RuleFinding("generation.defaultMaximumTokens", "must not exceed generation.largestMaximumTokens")
        }
    }

    private fun listPositiveSettings(settings: Settings): List<Pair<String, Long>> = listOf(
        "callers.maximumBodyBytes" to settings.callers.maximumBodyBytes,
        "callers.maximumAnswerBytes" to settings.callers.maximumAnswerBytes,
        "callers.requestTimeoutSeconds" to settings.callers.requestTimeoutSeconds.toLong(),
        "callers.addressLifetimeSeconds" to settings.callers.addressLifetimeSeconds.toLong(),
        "generation.defaultMaximumTokens" to settings.generation.defaultMaximumTokens,
        "generation.largestMaximumTokens" to settings.generation.largestMaximumTokens,
        "platform.timeoutMilliseconds" to settings.platform.timeoutMilliseconds,
        "endpoints.connectTimeoutMilliseconds" to settings.endpoints.connectTimeoutMilliseconds,
        "endpoints.silenceTimeoutMilliseconds" to settings.endpoints.silenceTimeoutMilliseconds,
        "endpoints.listIntervalMilliseconds" to settings.endpoints.listIntervalMilliseconds,
    )
}

/** Operators have a name and the hexadecimal SHA-256 digest of their token. */
class OperatorRule : SettingsRule {
    override fun check(settings: Settings): List<RuleFinding> =
        settings.administration.operators.flatMapIndexed { index, operator ->
            val name = "administration.operators[$index]"
            listOfNotNull(
                RuleFinding(name, "name is empty").takeIf { operator.name.isBlank() },
                RuleFinding(name, "tokenHash must be 64 hexadecimal digits")
                    .takeUnless { DIGEST.matches(operator.tokenHash) },
            )
        }

    private companion object {
        val DIGEST = Regex("[0-9a-f]{64}")
    }
}
