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
 * Leads an instance through its phases.
 *
 * It is ready while its configuration is current. A planned stop first tells the others, so that no answer names the
 * instance any more; it goes on serving for as long as callers may keep older answers, then turns new requests away,
 * lets the running ones end, and last hands back what other concerns hold.
 *
 * @param isCurrent tells whether the configuration is current
 */
class InstanceLife(
    private val membership: HeartbeatMembership,
    private val network: InnerNetwork,
    private val isCurrent: () -> Boolean,
    private val gate: RequestGate,
    private val addressLifetime: Duration,
) {
    private val releases = CopyOnWriteArrayList<suspend () -> Unit>()
    private val draining = Mutex()
    private var drained = false

    /** Adds [release], which hands back what a concern holds, to the end of a planned stop. */
    fun onRelease(release: suspend () -> Unit) {
        releases.add(release)
    }

    /** Keeps the phase in step with the configuration. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (membership.phase != InstancePhase.DRAINING) {
                followConfiguration()
                delay(PHASE_INTERVAL)
            }
        }
    }

    /** Carries out a planned stop up to the point at which the process may end. Later calls wait for the first. */
    suspend fun drain() = draining.withLock {
        if (drained) return@withLock
        logger.info { "draining" }
        membership.drain()
        membership.announce(network)
        delay(addressLifetime)
        gate.stop()
        gate.awaitEmpty()
        releases.forEach { it() }
        drained = true
        logger.info { "drained" }
    }

    private fun followConfiguration() {
        membership.follow(if (isCurrent()) InstancePhase.READY else InstancePhase.JOINING)
    }

    private companion object {
        val PHASE_INTERVAL = 200.milliseconds
    }
}
