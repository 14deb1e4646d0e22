package org.nutmegspring.node.routing

import kotlinx.coroutines.CompletableDeferred
import org.nutmegspring.admission.AdmissionQueue
import org.nutmegspring.admission.Arrival
import org.nutmegspring.admission.Held
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.fairness.QueuedItem
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.routing.EndpointTable
import org.nutmegspring.routing.GenerationDemand
import org.nutmegspring.routing.Placement
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What became of a generation. */
sealed interface HeldOutcome {
    /** It goes to [endpoint]. */
    data class Placed(val endpoint: EndpointDescription) : HeldOutcome

    /** It is refused and may be tried again after [retryAfter]. */
    data class Refused(val reason: String, val retryAfter: Duration) : HeldOutcome
}

/** A generation that is to be placed. */
internal class HeldGeneration(
    val model: ModelId,
    val demand: GenerationDemand,
    val exclude: Set<EndpointId>,
    val organisation: OrganisationId,
) {
    private val completion = CompletableDeferred<HeldOutcome>()
    var item: QueuedItem<Held<HeldGeneration>>? = null
    var retryAfter: Duration = 1.seconds
    var outcome: HeldOutcome? = null
    var received = false

    /** Waits for the outcome. */
    suspend fun await(): HeldOutcome = completion.await().also { received = true }

    /** Passes the outcome to the waiting caller. */
    fun complete() {
        outcome?.let { completion.complete(it) }
    }
}

/**
 * Places generations, holding those that would miss their latency goals. It is not safe for concurrent use; the
 * generations that it returns have an outcome and are completed by its caller outside its lock.
 */
internal class HeldGenerations(private val table: EndpointTable) {
    private val queues = HashMap<ModelId, AdmissionQueue<HeldGeneration>>()

    /** How many generations wait. */
    val size: Int get() = queues.values.sumOf { it.size }

    /** Places, holds or refuses [request]. */
    fun offer(request: HeldGeneration, weight: Int, now: MonotonicTime): List<HeldGeneration> {
        val queue = queues.getOrPut(request.model) { AdmissionQueue() }
        val placement = choose(request, now) ?: return listOf(refuse(request, "no engine is available"))
        if (queue.size == 0 && queue.meetsGoals(placement)) return listOf(place(request, placement, now))
        request.retryAfter = queue.retryAfter(placement)
        return when (val arrival = queue.arrive(request.organisation, weight, placement, now, request)) {
            is Arrival.Waiting -> {
                request.item = arrival.item
                emptyList()
            }

            is Arrival.WaitingInPlaceOf -> {
                request.item = arrival.item
                listOf(refuse(arrival.refused, QUEUE_FULL))
            }

            is Arrival.Refused -> {
                listOf(refuse(request, QUEUE_FULL))
            }
        }
    }

    /** Places those that can be placed now and refuses those whose time has run out. */
    fun serve(now: MonotonicTime): List<HeldGeneration> = queues.values.flatMap { serve(it, now) }

    /** Removes [request] whose caller no longer waits, and gives back the place that it did not receive. */
    fun withdraw(request: HeldGeneration, now: MonotonicTime) {
        if (request.received) return
        request.item?.let { queues[request.model]?.remove(it) }
        val placed = request.outcome as? HeldOutcome.Placed ?: return
        table.finished(placed.endpoint.id, failed = false, now)
    }

    private fun serve(queue: AdmissionQueue<HeldGeneration>, now: MonotonicTime): List<HeldGeneration> {
        val done = ArrayList<HeldGeneration>()
        queue.expire(now).mapTo(done) { refuse(it, "the latency goals cannot be met") }
        while (true) {
            val held = queue.peek() ?: return done
            val placement = choose(held.value, now) ?: return done
            if (!queue.meetsGoals(placement, now - held.arrival)) return done
            queue.poll()
            done += place(held.value, placement, now)
        }
    }

    private fun choose(request: HeldGeneration, now: MonotonicTime): Placement? =
        table.chooseEngine(request.model, request.demand, request.exclude, now)

    private fun place(request: HeldGeneration, placement: Placement, now: MonotonicTime): HeldGeneration {
        val endpoint = table.description(placement.decode.id) ?: return refuse(request, "no engine is available")
        table.sent(request.model, request.demand, placement, now)
        request.outcome = HeldOutcome.Placed(endpoint)
        return request
    }

    private fun refuse(request: HeldGeneration, reason: String): HeldGeneration {
        request.outcome = HeldOutcome.Refused(reason, request.retryAfter)
        return request
    }

    private companion object {
        const val QUEUE_FULL = "the admission queue is full"
    }
}
