package org.nutmegspring.node.routing

import kotlinx.coroutines.CompletableDeferred
import org.nutmegspring.admission.AdmissionQueue
import org.nutmegspring.admission.EnqueueResult
import org.nutmegspring.admission.QueuedRequest
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
    var item: QueuedItem<QueuedRequest<HeldGeneration>>? = null
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
        if (queue.size == 0 && queue.canMeetObjectives(placement)) return listOf(place(request, placement, now))
        request.retryAfter = queue.computeRetryAfter(placement)
        return when (val arrival = queue.enqueue(request.organisation, weight, placement, now, request)) {
            is EnqueueResult.Queued -> {
                request.item = arrival.item
                emptyList()
            }

            is EnqueueResult.QueuedWithEviction -> {
                request.item = arrival.item
                listOf(refuse(arrival.evicted, QUEUE_FULL))
            }

            is EnqueueResult.Refused -> {
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
        table.recordCompletion(placed.endpoint.id, failed = false, now)
    }

    private fun serve(queue: AdmissionQueue<HeldGeneration>, now: MonotonicTime): List<HeldGeneration> {
        val done = ArrayList<HeldGeneration>()
        queue.removeExpired(now).mapTo(done) { refuse(it, "the latency goals cannot be met") }
        while (true) {
            val held = queue.peek() ?: return done
            val placement = choose(held.value, now) ?: return done
            if (!queue.canMeetObjectives(placement, now - held.arrivalTime)) return done
            queue.poll()
            done += place(held.value, placement, now)
        }
    }

    private fun choose(request: HeldGeneration, now: MonotonicTime): Placement? =
        table.chooseEngine(request.model, request.demand, request.exclude, now)

    private fun place(request: HeldGeneration, placement: Placement, now: MonotonicTime): HeldGeneration {
        val endpoint = table.findDescription(placement.decode.id) ?: return refuse(request, "no engine is available")
        table.recordDispatch(request.model, request.demand, placement, now)
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
