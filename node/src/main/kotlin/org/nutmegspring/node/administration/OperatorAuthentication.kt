package org.nutmegspring.node.administration

import org.nutmegspring.configuration.OperatorName
import org.nutmegspring.node.configuration.hashOf
import org.nutmegspring.node.settings.OperatorSettings
import java.security.MessageDigest

/** Finds the operator to whom a bearer token belongs. */
internal class OperatorAuthentication(private val operators: List<OperatorSettings>) {
    /** Returns the operator of the `Authorization` header [header], or null when it names none. */
    fun operatorOf(header: String?): OperatorName? {
        val token = header?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.substring(SCHEME.length)?.trim()
        if (token.isNullOrEmpty()) return null
        val hash = hashOf(token).value.toByteArray()
        return operators.filter { MessageDigest.isEqual(it.tokenHash.toByteArray(), hash) }
            .map { OperatorName(it.name) }
            .firstOrNull()
    }

    private companion object {
        const val SCHEME = "Bearer "
    }
}
