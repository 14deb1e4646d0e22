package org.nutmegspring.node.configuration

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.Configuration
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import kotlin.time.Duration.Companion.seconds

/** The key of the object that holds the whole configuration. */
val CONFIGURATION_OBJECT: ObjectKey = ObjectKey("configuration/whole")

/** Reads the whole configuration from one object of the store every second. */
class PolledConfigurationView(
    private val store: ObjectStore,
    private val epochSeconds: () -> Long,
) : ConfigurationView {
    private val current = MutableStateFlow(Configuration.EMPTY)

    override val configuration: StateFlow<Configuration> = current

    /** Starts reading in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                refresh()
                delay(INTERVAL)
            }
        }
    }

    override fun currency(): Either<Failure, Unit> =
        if (current.value.revision > Configuration.EMPTY.revision) {
            Unit.right()
        } else {
            Failure(Step.CONFIGURE, Peer.PLATFORM, Effect.NOT_RUN, "no configuration yet", INTERVAL).left()
        }

    override fun authenticate(secret: String): Either<Failure, ApiKey> {
        val key = current.value.keys[hashOf(secret)]
        if (key != null && isValid(key)) return key.right()
        return Failure(Step.AUTHENTICATE, Peer.CALLER, Effect.NOT_RUN, "the API key is not valid").left()
    }

    override fun isValid(key: ApiKey): Boolean {
        val expiry = key.expiresAtEpochSeconds
        return current.value.keys[key.hash] == key && (expiry == null || epochSeconds() < expiry)
    }

    private suspend fun refresh() {
        val read = store.read(CONFIGURATION_OBJECT).getOrElse { null } ?: return
        val configuration = Json.decodeFromString(Configuration.serializer(), read.value)
        if (configuration.revision > current.value.revision) current.value = configuration
    }

    private companion object {
        val INTERVAL = 1.seconds
    }
}
