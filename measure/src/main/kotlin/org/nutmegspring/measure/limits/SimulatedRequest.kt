package org.nutmegspring.measure.limits

import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.limits.ChargeDecision
import org.nutmegspring.limits.TokenCharge
import kotlin.time.Duration

/**
 * A request.
 *
 * @property tokens the most that it can use
 * @property used what it will have used after [duration]
 */
internal data class SimulatedRequest(
    val organisation: OrganisationId,
    val tokens: Long,
    val used: Long,
    val duration: Duration,
)

/** Hears what became of a request. */
internal interface RequestListener {
    /** [request] is dispatched now. */
    fun dispatched(request: SimulatedRequest)

    /** [request] is refused. */
    fun refused(request: SimulatedRequest)
}

/** How requests are charged. */
internal interface Admission {
    /** Decides about [request], which arrived at [process]. */
    fun arrive(process: SimulatedProcess, request: SimulatedRequest, listener: RequestListener)
}

/** Charges before dispatch, and collects grants when the instance's own tokens do not suffice. */
internal object ChargeBeforeDispatch : Admission {
    override fun arrive(process: SimulatedProcess, request: SimulatedRequest, listener: RequestListener) {
        process.table.ledger(request.organisation, process.now())?.recordDemand(request.tokens, process.now())
        attempt(process, request, listener, 0)
    }

    private fun attempt(process: SimulatedProcess, request: SimulatedRequest, listener: RequestListener, round: Int) {
        val ledger = process.table.ledger(request.organisation, process.now()) ?: return listener.refused(request)
        when (val decision = ledger.charge(request.tokens, round, process.now())) {
            is ChargeDecision.Charged -> {
                dispatch(process, request, decision.charge, listener)
            }

            is ChargeDecision.Refused -> {
                listener.refused(request)
            }

            is ChargeDecision.RequestGrants -> {
                process.collect(request.organisation, decision.requests) {
                    attempt(process, request, listener, round + 1)
                }
            }
        }
    }

    private fun dispatch(
        process: SimulatedProcess,
        request: SimulatedRequest,
        charge: TokenCharge,
        listener: RequestListener,
    ) {
        listener.dispatched(request)
        process.after(request.duration) {
            process.table.ledger(request.organisation, process.now())?.settle(charge, request.used, process.now())
        }
    }
}

/** Dispatches when enough tokens are there and charges what was used afterwards. It is defective. */
internal object ChargeAfterDispatch : Admission {
    override fun arrive(process: SimulatedProcess, request: SimulatedRequest, listener: RequestListener) {
        val ledger = process.table.ledger(request.organisation, process.now()) ?: return listener.refused(request)
        if (ledger.available(process.now()) < request.tokens) return listener.refused(request)
        listener.dispatched(request)
        process.after(request.duration) {
            val last = process.table.ledger(request.organisation, process.now())
            last?.charge(request.used, Int.MAX_VALUE, process.now())
        }
    }
}
