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

/** A view of the configuration in this process's replica. [wallClock] determines whether keys have expired. */
internal class ReplicatedConfigurationView(
    private val replica: SharedReplica,
    private val timing: FreshnessTiming,
    private val wallClock: Clock,
) : ConfigurationView {
    override val configuration: StateFlow<Configuration> get() = replica.configuration

    override fun checkFreshness(): Either<Failure, Unit> =
        if (replica.canAdmit()) Unit.right() else createNotCurrentFailure().left()

    override fun authenticate(secret: String): Either<Failure, ApiKey> = either {
        checkFreshness().bind()
        val hash = hashSecret(secret)
        val key = configuration.value.keys[hash]
        val hashMatches = key != null && MessageDigest.isEqual(encodeAscii(key.hash.value), encodeAscii(hash.value))
        if (key == null || !hashMatches || isExpired(key)) raise(createInvalidKeyFailure())
        key
    }

    override fun isValid(key: ApiKey): Boolean {
        val age = replica.computeEvidenceAge() ?: return false
        val current = configuration.value.keys[key.hash]
        return age <= timing.streamFreshnessBound && current?.id == key.id && !isExpired(current)
    }

    private fun isExpired(key: ApiKey): Boolean =
        key.expiresAtEpochSeconds?.let { wallClock.instant().epochSecond >= it } ?: false

    private fun encodeAscii(text: String) = text.toByteArray(Charsets.US_ASCII)

    private fun createInvalidKeyFailure() =
        Failure(Step.AUTHENTICATE, Peer.CALLER, Effect.NOT_RUN, "the key is unknown, revoked or expired")

    private fun createNotCurrentFailure() = Failure(
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
