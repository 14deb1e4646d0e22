package org.nutmegspring.node.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedState
import org.nutmegspring.platform.PlatformLists
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Chooses the endpoint of the right kind with the fewest requests of this instance. Serves one model. */
class FewestRequestsChooser(
    private val lists: PlatformLists,
    private val interval: Duration,
    private val model: ModelId,
) : EndpointChooser {
    private val running = ConcurrentHashMap<EndpointId, AtomicInteger>()

    @Volatile
    private var listed = emptyList<ListedEndpoint>()

    /** Starts reading the platform's list in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                lists.endpoints().onRight { listed = it }
                delay(interval)
            }
        }
    }

    override fun models(): Set<ModelId> = setOf(model)

    override suspend fun choose(work: Work, exclude: Set<EndpointId>): Either<Failure, ChosenEndpoint> {
        val chosen = listed.asSequence()
            .filter { it.state == ListedState.LIVE }
            .map { it.endpoint }
            .filter { serves(it, work) && it.id !in exclude }
            .minByOrNull { count(it.id).get() }
        return chosen?.let { Choice(it, count(it.id)).right() }
            ?: Failure(Step.CHOOSE_ENDPOINT, Peer.SELF, Effect.NOT_RUN, "no endpoint is available", 1.seconds).left()
    }

    private fun serves(endpoint: EndpointDescription, work: Work): Boolean = when (work) {
        is Work.Generation -> endpoint.kind == EndpointKind.Engine && work.model == model
        is Work.ServiceCall -> endpoint.kind == EndpointKind.Plain(work.service)
    }

    private fun count(id: EndpointId) = running.computeIfAbsent(id) { AtomicInteger() }

    private class Choice(override val endpoint: EndpointDescription, private val count: AtomicInteger) :
        ChosenEndpoint {
        private val ended = AtomicBoolean()

        init {
            count.incrementAndGet()
        }

        override fun answered(delay: Duration) = Unit

        override fun finished(failed: Boolean) {
            if (ended.compareAndSet(false, true)) count.decrementAndGet()
        }
    }
}
