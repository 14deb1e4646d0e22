package org.nutmegspring.gateway.endpoints

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.platform.ListedState
import kotlin.time.Duration

/**
 * An endpoint as it describes itself in the platform's store.
 *
 * @property address `host:port` with an IP number
 * @property slots maximum number of concurrent requests
 * @property role the stage of the work that an engine accepts, null for a plain service
 * @property isInterruptible whether the platform can reclaim it at short notice
 * @property bornAt start of the process in milliseconds since the epoch; distinguishes processes that use the same id
 * @property sequence increases with each description of the process
 * @property remainingColdTime how long it would stay cold when it described itself, zero when it was not cold
 */
data class ServingEndpoint(
    val id: EndpointId,
    val service: ServiceId,
    val address: String,
    val dataCentre: DataCentreId,
    val slots: Int,
    val state: ListedState,
    val role: EngineRole?,
    val bornAt: Long?,
    val isInterruptible: Boolean = false,
    val sequence: Long? = null,
    val remainingColdTime: Duration = Duration.ZERO,
) {
    /** Whether this and [other] differ in nothing but the sequence and the remaining cold time. */
    fun describesSameAs(other: ServingEndpoint): Boolean =
        copy(sequence = other.sequence, remainingColdTime = other.remainingColdTime) == other

    /**
     * Compares the age of this description with that of [other]: negative when it is older, null when they are not of
     * the same process.
     */
    fun compareAge(other: ServingEndpoint): Int? {
        val isSameProcess = bornAt != null && bornAt == other.bornAt
        return if (isSameProcess && sequence != null && other.sequence != null) {
            sequence.compareTo(other.sequence)
        } else {
            null
        }
    }
}
