package org.nutmegspring.measure.routing

import org.nutmegspring.admission.AdmissionQueue
import org.nutmegspring.admission.EnqueueResult
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.routing.FleetView
import org.nutmegspring.routing.GenerationDemand
import org.nutmegspring.routing.Placement
import org.nutmegspring.routing.Router
import kotlin.time.Duration.Companion.milliseconds

/** An entry instance that places requests at engines, and holds or refuses them when [admission] is not null. */
class EntryModel(
    val fleet: FleetView,
    private val router: Router,
    val dataCentre: DataCentreId,
    private val admission: AdmissionQueue<HeldRequest>?,
    private val schedule: VirtualSchedule,
) {
    private var pumping = false

    /** A request that can be placed or refused. */
    interface HeldRequest {
        /** What it asks of the engines. */
        val demand: GenerationDemand

        /** For whom it runs. */
        val organisation: OrganisationId

        /** It arrived and would best go to [placement]. */
        fun onOffered(placement: Placement)

        /** It goes to [placement]. */
        fun onPlaced(placement: Placement)

        /** It is refused. */
        fun onRefused()
    }

    /** Takes [request]. */
    fun offer(request: HeldRequest) {
        val placement = router.choose(request.demand, schedule.now()) ?: return request.onRefused()
        request.onOffered(placement)
        if (admission == null ||
            (admission.size == 0 && admission.canMeetObjectives(placement))
        ) {
            return place(request, placement)
        }
        when (val arrival = admission.enqueue(request.organisation, 1, placement, schedule.now(), request)) {
            is EnqueueResult.Queued -> Unit
            is EnqueueResult.QueuedWithEviction -> arrival.evicted.onRefused()
            is EnqueueResult.Refused -> request.onRefused()
        }
        schedulePump(admission)
    }

    private fun place(request: HeldRequest, placement: Placement) {
        fleet.recordDispatch(request.demand, placement, schedule.now())
        request.onPlaced(placement)
    }

    private fun schedulePump(queue: AdmissionQueue<HeldRequest>) {
        if (pumping) return
        pumping = true
        schedule.after(PUMP_INTERVAL) {
            pumping = false
            pump(queue)
            if (queue.size > 0) schedulePump(queue)
        }
    }

    private fun pump(queue: AdmissionQueue<HeldRequest>) {
        queue.removeExpired(schedule.now()).forEach { it.onRefused() }
        while (queue.size > 0) {
            val held = queue.peek() ?: return
            val placement = router.choose(held.value.demand, schedule.now()) ?: return
            if (!queue.canMeetObjectives(placement, schedule.now() - held.arrivalTime)) return
            queue.poll()
            place(held.value, placement)
        }
    }

    private companion object {
        val PUMP_INTERVAL = 10.milliseconds
    }
}
