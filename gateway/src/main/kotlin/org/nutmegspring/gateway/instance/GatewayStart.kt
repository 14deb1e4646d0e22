package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.http.EndpointConnections
import org.nutmegspring.gateway.observe.DecisionLog
import org.nutmegspring.gateway.settings.GatewaySettings
import org.nutmegspring.gateway.settings.PlatformSettings
import org.nutmegspring.gateway.store.PlatformPorts
import org.nutmegspring.gateway.store.StoreHistory

/** Creates the platform's ports from connections, settings, the store's history and a handler of unreadable objects. */
typealias PlatformFactory = (EndpointConnections, PlatformSettings, StoreHistory, (String) -> Unit) -> PlatformPorts

/**
 * Starts an instance with [settings] on the platform that [platformFactory] creates.
 *
 * @throws java.net.BindException when an address is in use; nothing of the instance keeps running then
 */
fun startGateway(settings: GatewaySettings, log: DecisionLog, platformFactory: PlatformFactory): GatewayInstance =
    checkNotNull(startGateway(settings, log, platformFactory, { false }))

/**
 * Starts an instance as above, unless [isStopRequested] returns true just before it would listen. Returns null then,
 * and nothing of the instance keeps running.
 *
 * @param endProcess ends the process after a line with the reason, when memory is exhausted or the event loop hangs
 * @param wallClockMilliseconds reads the wall clock, in milliseconds since the epoch
 */
fun startGateway(
    settings: GatewaySettings,
    log: DecisionLog,
    platformFactory: PlatformFactory,
    isStopRequested: () -> Boolean,
    endProcess: (String) -> Unit = {},
    wallClockMilliseconds: () -> Long = System::currentTimeMillis,
): GatewayInstance? {
    val instance = GatewayInstance(settings, platformFactory, log, endProcess, wallClockMilliseconds)
    var isStarted = false
    try {
        if (isStopRequested()) return null
        instance.start()
        isStarted = true
        return instance
    } finally {
        if (!isStarted) instance.close()
    }
}
