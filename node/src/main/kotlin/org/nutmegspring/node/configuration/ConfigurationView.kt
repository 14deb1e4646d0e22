package org.nutmegspring.node.configuration

import arrow.core.Either
import kotlinx.coroutines.flow.StateFlow
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.Configuration
import org.nutmegspring.failure.Failure

/** Read access to the configuration that this instance applies. */
interface ConfigurationView {
    /** The configuration of the greatest applied revision. */
    val configuration: StateFlow<Configuration>

    /** Returns a failure if the configuration is not known to be current, so that no request may be admitted. */
    fun checkFreshness(): Either<Failure, Unit>

    /** Returns the key with this [secret], or a failure if it is unknown, revoked or expired or freshness is lost. */
    fun authenticate(secret: String): Either<Failure, ApiKey>

    /** Whether [key] is still valid, under the freshness bound of streams. Called repeatedly while a stream runs. */
    fun isValid(key: ApiKey): Boolean
}
