package org.nutmegspring.node.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.coroutines.flow.StateFlow
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.Configuration
import org.nutmegspring.configuration.FreshnessTiming
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import java.security.MessageDigest
import java.time.Clock
import kotlin.time.Duration.Companion.seconds

/** The configuration of this process's replica, and the keys in it. [wallClock] decides on the expiry of keys. */
internal class ReplicatedConfigurationView(
    private val replica: SharedReplica,
    private val timing: FreshnessTiming,
    private val wallClock: Clock,
) : ConfigurationView {
    override val configuration: StateFlow<Configuration> get() = replica.configuration

    override fun currency(): Either<Failure, Unit> = if (replica.admits()) Unit.right() else notCurrent().left()

    override fun authenticate(secret: String): Either<Failure, ApiKey> = either {
        currency().bind()
        val hash = hashOf(secret)
        val key = configuration.value.keys[hash]
        val matches = key != null && MessageDigest.isEqual(bytes(key.hash.value), bytes(hash.value))
        if (key == null || !matches || expired(key)) raise(invalidKey())
        key
    }

    override fun isValid(key: ApiKey): Boolean {
        val age = replica.evidenceAge() ?: return false
        val current = configuration.value.keys[key.hash]
        return age <= timing.streamFreshnessBound && current?.id == key.id && !expired(current)
    }

    private fun expired(key: ApiKey): Boolean =
        key.expiresAtEpochSeconds?.let { wallClock.instant().epochSecond >= it } ?: false

    private fun bytes(text: String) = text.toByteArray(Charsets.US_ASCII)

    private fun invalidKey() =
        Failure(Step.AUTHENTICATE, Peer.CALLER, Effect.NOT_RUN, "the key is unknown, revoked or expired")

    private fun notCurrent() = Failure(
        Step.CONFIGURE,
        Peer.SELF,
        Effect.NOT_RUN,
        "this instance cannot show that its configuration is current",
        retryAfter = RETRY_AFTER,
    )

    private companion object {
        val RETRY_AFTER = 2.seconds
    }
}
