package org.nutmegspring.gateway.forwarding

import org.nutmegspring.gateway.endpoints.EndpointTable
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An evacuation lasts for seconds at least, and a caller that returns sooner is refused again. */
private val EVACUATED_RETRY_AFTER = 1.seconds

/**
 * Returns how a request to [service] ends that no endpoint can take. It is refused for [reason], or because
 * the data centres of all endpoints are evacuated. The caller returns when a limit permits it, or after [pause].
 */
internal fun EndpointTable.createUnplacedEnd(
    service: ServiceId,
    now: MonotonicTime,
    reason: String,
    pause: Duration,
): RunEnd.NotRun =
    if (isEvacuated(service, now)) {
        RunEnd.NotRun("the data centres of all endpoints are evacuated, or may be", EVACUATED_RETRY_AFTER)
    } else {
        RunEnd.NotRun(reason, timeUntilTurn(service, now) ?: pause)
    }
