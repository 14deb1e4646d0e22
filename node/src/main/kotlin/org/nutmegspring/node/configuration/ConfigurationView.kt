package org.nutmegspring.node.configuration

import arrow.core.Either
import kotlinx.coroutines.flow.StateFlow
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.Configuration
import org.nutmegspring.failure.Failure

/** The configuration that this instance applies. */
interface ConfigurationView {
    /** The greatest applied configuration. */
    val configuration: StateFlow<Configuration>

    /** Returns a failure when this instance cannot show that its configuration is current, and so must not admit. */
    fun currency(): Either<Failure, Unit>

    /** Returns the key record of the presented key [secret] when it is valid now. */
    fun authenticate(secret: String): Either<Failure, ApiKey>

    /** Whether [key] is still valid; a running stream asks this repeatedly. */
    fun isValid(key: ApiKey): Boolean
}
