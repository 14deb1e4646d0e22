package org.nutmegspring.measure.confirmations

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.node.routing.ChosenEndpoint
import org.nutmegspring.node.routing.EndpointChooser
import org.nutmegspring.node.routing.Work
import kotlin.random.Random
import kotlin.time.Duration

/** Chooses any endpoint that is not excluded. */
internal class VirtualChooser(
    private val random: Random,
    private val services: List<EndpointDescription>,
    private val engines: List<EndpointDescription>,
) : EndpointChooser {
    override fun runningModels(): Set<ModelId> = emptySet()

    override suspend fun choose(work: Work, excluded: Set<EndpointId>): Either<Failure, ChosenEndpoint> {
        val all = if (work is Work.Generation) engines else services
        val left = all.filter { it.id !in excluded }
        if (left.isEmpty()) {
            return Failure(Step.CHOOSE_ENDPOINT, Peer.SELF, Effect.NOT_RUN, "no endpoint is left").left()
        }
        return Chosen(left.random(random)).right()
    }

    private class Chosen(override val endpoint: EndpointDescription) : ChosenEndpoint {
        override fun recordFirstAnswer(delay: Duration) = Unit

        override fun recordCompletion(failed: Boolean) = Unit
    }
}
