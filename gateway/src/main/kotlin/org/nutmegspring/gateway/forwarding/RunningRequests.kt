package org.nutmegspring.gateway.forwarding

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import org.nutmegspring.gateway.configuration.RouteKind
import org.nutmegspring.membership.PlannedStop
import org.nutmegspring.time.MonotonicTime

/** Forwards requests and knows those that are running, so that a planned stop can end them. */
class RunningRequests(
    private val services: ServiceForwarder,
    private val streams: StreamForwarder,
) {
    private val jobs = LinkedHashSet<Job>()
    private var plannedStop: PlannedStop? = null

    /** The number of requests that are running. */
    val count: Int get() = jobs.size

    /** Records that [stop] has begun. */
    fun beginStop(stop: PlannedStop) {
        plannedStop = stop
    }

    /** Whether a request whose answer is due at [deadline] is sure to be answered before a planned stop ends. */
    fun canAnswerBy(deadline: MonotonicTime): Boolean = plannedStop?.canAnswerBy(deadline) ?: true

    /** Forwards [run] in the caller's coroutine, which [endAll] cancels. */
    suspend fun forward(run: RequestRun): RunEnd {
        val job = currentCoroutineContext().job
        jobs += job
        return try {
            when (run.admitted.route.kind) {
                is RouteKind.Streaming -> streams.serve(run)
                RouteKind.Idempotent, RouteKind.NonIdempotent -> services.serve(run)
            }
        } finally {
            jobs -= job
        }
    }

    /** Cancels the coroutines of all running requests. Their callers still have to be answered. */
    fun endAll() = jobs.toList().forEach { it.cancel(CancellationException("the instance is stopping")) }
}
