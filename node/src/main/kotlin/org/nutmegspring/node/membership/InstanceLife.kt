package org.nutmegspring.node.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.protocol.InnerNetwork
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Manages the lifecycle phases of an instance.
 *
 * The instance is ready while its configuration is current. A planned stop has these steps:
 * 1. It announces the draining phase to the other instances, so that they no longer return its address to callers.
 * 2. It continues to serve for [addressLifetime], during which callers may still use cached addresses.
 * 3. It rejects new requests and waits until the running ones have ended.
 * 4. It runs the release actions, which give up resources such as leases.
 *
 * @property isConfigurationCurrent returns whether the configuration is current
 * @property addressLifetime how long a caller may cache the address of an instance
 */
class InstanceLife(
    private val membership: HeartbeatMembership,
    private val network: InnerNetwork,
    private val isConfigurationCurrent: () -> Boolean,
    private val gate: RequestGate,
    private val addressLifetime: Duration,
) {
    private val releaseActions = CopyOnWriteArrayList<suspend () -> Unit>()
    private val drainMutex = Mutex()
    private var isDrained = false

    /** Adds [action], which releases resources, to the end of a planned stop. Actions run in the order of addition. */
    fun addReleaseAction(action: suspend () -> Unit) {
        releaseActions.add(action)
    }

    /** Starts to update the phase according to the configuration, in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (membership.phase != InstancePhase.DRAINING) {
                updatePhase()
                delay(PHASE_UPDATE_INTERVAL)
            }
        }
    }

    /** Performs a planned stop. When it returns, the process may end. Concurrent and later calls wait for the first. */
    suspend fun drain() = drainMutex.withLock {
        if (isDrained) return@withLock
        logger.info { "draining" }
        membership.startDraining()
        membership.announce(network)
        delay(addressLifetime)
        gate.stop()
        gate.awaitEmpty()
        releaseActions.forEach { it() }
        isDrained = true
        logger.info { "drained" }
    }

    private fun updatePhase() {
        membership.updatePhase(if (isConfigurationCurrent()) InstancePhase.READY else InstancePhase.JOINING)
    }

    private companion object {
        val PHASE_UPDATE_INTERVAL = 200.milliseconds
    }
}
