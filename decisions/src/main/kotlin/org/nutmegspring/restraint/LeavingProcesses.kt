package org.nutmegspring.restraint

import org.nutmegspring.identity.EndpointId

/** A process of an endpoint, as its entry describes it: a new one at [address] has another id or another birth. */
data class EndpointProcess(
    val id: EndpointId,
    val address: String,
    val bornAt: Long?,
)

/**
 * The processes that stated in an answer that they are leaving. A process stays among them whatever its entry says and
 * however often the entry is removed and written again; only a new process at the address may get work.
 */
class LeavingProcesses {
    private val leaving = LinkedHashSet<EndpointProcess>()

    /** Records that [process] is leaving. Returns whether that is new. */
    fun record(process: EndpointProcess): Boolean {
        val isNew = leaving.add(process)
        if (leaving.size > MAXIMUM_PROCESSES) leaving.remove(leaving.first())
        return isNew
    }

    /** Whether [process] is leaving, so that it gets no new work. */
    operator fun contains(process: EndpointProcess): Boolean = process in leaving

    private companion object {
        /** Many times the endpoints that leave in the time in which their entries may still be shown. */
        const val MAXIMUM_PROCESSES = 1_000
    }
}
