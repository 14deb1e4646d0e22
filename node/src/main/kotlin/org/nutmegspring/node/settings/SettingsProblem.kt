package org.nutmegspring.node.settings

/**
 * A problem in a settings file.
 *
 * @property line the line in the file, counted from 1, or null if unknown
 * @property name the setting's path, for example `callers.address`
 */
data class SettingsProblem(
    val file: String,
    val line: Int?,
    val name: String,
    val message: String,
) {
    override fun toString(): String = listOfNotNull(file, line?.toString()).joinToString(":") + ": $name: $message"
}
