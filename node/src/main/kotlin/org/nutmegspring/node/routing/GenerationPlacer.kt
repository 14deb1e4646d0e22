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

/** The outcome of placing a generation. */
sealed interface PlacementOutcome {
    /** The generation was placed on [endpoint]. */
    data class Placed(val endpoint: EndpointDescription) : PlacementOutcome

    /** The generation was refused and may be retried after [retryAfter]. */
    data class Refused(val reason: String, val retryAfter: Duration) : PlacementOutcome
}

/** A generation that waits for an engine. */
internal class PendingGeneration(
    val model: ModelId,
    val demand: GenerationDemand,
    val excluded: Set<EndpointId>,
    val organisation: OrganisationId,
) {
    private val completion = CompletableDeferred<PlacementOutcome>()
    var item: QueuedItem<QueuedRequest<PendingGeneration>>? = null
    var retryAfter: Duration = 1.seconds
    var outcome: PlacementOutcome? = null
    var isReceived = false

    /** Waits for the outcome. */
    suspend fun await(): PlacementOutcome = completion.await().also { isReceived = true }

    /** Delivers the outcome, if there is one, to the waiting caller. */
    fun complete() {
        outcome?.let { completion.complete(it) }
    }
}

/**
 * Places generations on engines and queues those whose latency objectives cannot currently be met. Not safe for
 * concurrent use. The returned generations have an outcome; the caller completes them after it has released its lock.
 */
internal class GenerationPlacer(private val table: EndpointTable) {
    private val queues = HashMap<ModelId, AdmissionQueue<PendingGeneration>>()

    /** The number of queued generations. */
    val queuedCount: Int get() = queues.values.sumOf { it.size }

    /** Places, queues or refuses [request], and returns the generations whose outcome is now known. */
    fun placeOrEnqueue(request: PendingGeneration, weight: Int, now: MonotonicTime): List<PendingGeneration> {
        val queue = queues.getOrPut(request.model) { AdmissionQueue() }
        val placement = choose(request, now) ?: return listOf(refuse(request, "no engine is available"))
        if (queue.size == 0 && queue.canMeetObjectives(placement)) return listOf(place(request, placement, now))
        request.retryAfter = queue.computeRetryAfter(placement)
        return when (val result = queue.enqueue(request.organisation, weight, placement, now, request)) {
            is EnqueueResult.Queued -> {
                request.item = result.item
                emptyList()
            }

            is EnqueueResult.QueuedWithEviction -> {
                request.item = result.item
                listOf(refuse(result.evicted, QUEUE_FULL))
            }

            is EnqueueResult.Refused -> {
                listOf(refuse(request, QUEUE_FULL))
            }
        }
    }

    /** Places the queued generations that can meet their objectives at [now] and refuses those that expired. */
    fun processQueues(now: MonotonicTime): List<PendingGeneration> = queues.values.flatMap { processQueue(it, now) }

    /**
     * Removes [request], whose caller has stopped waiting, from its queue. If it was placed but the caller did not
     * receive the outcome, its load is removed from the engine. Does nothing if the caller received the outcome.
     */
    fun withdraw(request: PendingGeneration, now: MonotonicTime) {
        if (request.isReceived) return
        request.item?.let { queues[request.model]?.remove(it) }
        val placement = request.outcome as? PlacementOutcome.Placed ?: return
        table.recordCompletion(placement.endpoint.id, failed = false, now)
    }

    private fun processQueue(queue: AdmissionQueue<PendingGeneration>, now: MonotonicTime): List<PendingGeneration> {
        val completed = ArrayList<PendingGeneration>()
        queue.removeExpired(now).mapTo(completed) { refuse(it, "the latency objectives cannot be met") }
        while (true) {
            val queued = queue.peek() ?: return completed
            val placement = choose(queued.value, now) ?: return completed
            if (!queue.canMeetObjectives(placement, now - queued.arrivalTime)) return completed
            queue.poll()
            completed += place(queued.value, placement, now)
        }
    }

    private fun choose(request: PendingGeneration, now: MonotonicTime): Placement? =
        table.chooseEngine(request.model, request.demand, request.excluded, now)

    private fun place(request: PendingGeneration, placement: Placement, now: MonotonicTime): PendingGeneration {
        val endpoint = table.findDescription(placement.decode.id) ?: return refuse(request, "no engine is available")
        table.recordDispatch(request.model, request.demand, placement, now)
        request.outcome = PlacementOutcome.Placed(endpoint)
        return request
    }

    private fun refuse(request: PendingGeneration, reason: String): PendingGeneration {
        request.outcome = PlacementOutcome.Refused(reason, request.retryAfter)
        return request
    }

    private companion object {
        const val QUEUE_FULL = "the admission queue is full"
    }
}
