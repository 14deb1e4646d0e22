package org.nutmegspring.node.administration

import org.nutmegspring.configuration.OperatorName
import org.nutmegspring.node.configuration.hashSecret
import org.nutmegspring.node.settings.OperatorSettings
import java.security.MessageDigest

/** Authenticates operators by their bearer tokens. */
internal class OperatorAuthentication(private val operators: List<OperatorSettings>) {
    /** Returns the operator whose token is in the `Authorization` [header], or null if there is none. */
    fun findOperator(header: String?): OperatorName? {
        val token = header?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.substring(SCHEME.length)?.trim()
        if (token.isNullOrEmpty()) return null
        val hash = hashSecret(token).value.toByteArray()
        return operators.filter { MessageDigest.isEqual(it.tokenHash.toByteArray(), hash) }
            .map { OperatorName(it.name) }
            .firstOrNull()
    }

    private companion object {
        const val SCHEME = "Bearer "
    }
}
