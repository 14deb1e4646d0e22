package org.nutmegspring.gateway.forwarding

import org.nutmegspring.identity.ServiceId
import org.nutmegspring.placement.EnginePlan
import org.nutmegspring.spending.DemandCounts

/** Counts what callers asked of engines since the process started, whether it was served or refused. */
class DemandCounter {
    private val countsByService = HashMap<ServiceId, DemandCounts>()

    /**
     * Counts a request at its first plan, null when no engine can take it: nothing of its prompt is then cached.
     * [isRefused] tells that it is refused because no engine would be in time.
     */
    fun record(request: AdmittedRequest, plan: EnginePlan?, isRefused: Boolean) {
        val prompt = request.facts.prompt ?: return
        val tokens = (prompt.promptTokens - (plan?.prefillEngine?.cachedTokens ?: 0)).coerceAtLeast(0).toLong()
        val before = find(request.service)
        countsByService[request.service] = DemandCounts(
            promptTokens = before.promptTokens + tokens,
            outputMilliseconds = before.outputMilliseconds + prompt.outputTokens * MILLISECONDS_PER_OUTPUT_TOKEN,
            refusedTokens = before.refusedTokens + if (isRefused) tokens else 0,
        )
    }

    /** Returns the counts of [service]. */
    fun find(service: ServiceId): DemandCounts = countsByService[service] ?: DemandCounts()

    private companion object {
        /** An output of some tens of tokens holds a slot for about a quarter of a second. */
        const val MILLISECONDS_PER_OUTPUT_TOKEN = 10L
    }
}
