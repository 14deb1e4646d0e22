package org.nutmegspring.node.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.endpoint.EngineTarget
import org.nutmegspring.endpoint.LoadReport
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ListedState
import org.nutmegspring.platform.PlatformLists
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class LoadAwareChooserSpec {
    private val model = ModelId("ledger")
    private val dataCentre = DataCentreId("rennes")
    private val work = Work.Generation(OrganisationId("one"), model, 1_000, 10, emptyList())
    private val failure = Failure(Step.CONNECT, Peer.PLATFORM, Effect.NOT_RUN, "unreachable")
    private val environment = FakeEnvironment()

    private inner class FakeEnvironment : PlatformLists, RoutingPeers {
        val departing = HashSet<EndpointId>()
        val unreachable = HashSet<EndpointId>()
        var queuedTokens = 0L
        var isListUnavailable = false
        private var sequence = 0L
        private val listed = listOf("a", "b").map { name ->
            val description = EndpointDescription(EndpointId(name), EndpointKind.Engine, dataCentre, "127.0.0.1:1")
            ListedEndpoint(description, ListedState.LIVE)
        }

        override suspend fun instances(): Either<StoreFailure, List<ListedInstance>> =
            emptyList<ListedInstance>().right()

        override suspend fun endpoints(): Either<StoreFailure, List<ListedEndpoint>> =
            if (isListUnavailable) StoreFailure.Unanswered(failure).left() else listed.right()

        override fun countSenders(): Int = 1

        override fun departingEndpoints(): Set<EndpointId> = departing

        override fun reportDeparting(endpoint: EndpointId) {
            departing.add(endpoint)
        }

        fun report(engine: EndpointDescription): Either<Failure, LoadReport> {
            if (engine.id in unreachable) return failure.left()
            val target = EngineTarget(EngineRole.MIXED, model, "1")
            return LoadReport(engine.id, target, false, queuedTokens, 0, 0, ++sequence).right()
        }
    }

    private fun TestScope.startChooser(): LoadAwareChooser {
        val clock = { MonotonicTime.ZERO + currentTime.milliseconds }
        val sources = ChooserSources(dataCentre, environment, environment::report, environment, clock) { 1 }
        val chooser = LoadAwareChooser(sources, ChooserTiming(), SimpleMeterRegistry(), Random(1))
        chooser.start(backgroundScope)
        advanceTimeBy(2.seconds)
        return chooser
    }

    private suspend fun LoadAwareChooser.chosenEndpoints(): Set<String> = List(20) {
        val choice = choose(work, emptySet()).getOrNull()
        choice?.recordCompletion(failed = false)
        choice?.endpoint?.id?.value
    }.filterNotNull().toSet()

    @Nested
    inner class `given idle engines` {
        @Test
        fun `requests are placed immediately and the running models are known`() = runTest {
            val chooser = startChooser()
            assertEquals(setOf(model), chooser.runningModels())
            assertEquals(setOf("a", "b"), chooser.chosenEndpoints())
        }

        @Test
        fun `a departing engine gets no requests after about a second, even if the list cannot be read`() = runTest {
            val chooser = startChooser()
            environment.isListUnavailable = true
            environment.departing.add(EndpointId("a"))
            advanceTimeBy(1_100.milliseconds)
            assertEquals(setOf("b"), chooser.chosenEndpoints())
        }

        @Test
        fun `an engine whose load reports cannot be read gets no requests`() = runTest {
            val chooser = startChooser()
            environment.unreachable.add(EndpointId("b"))
            advanceTimeBy(2.seconds)
            assertEquals(setOf("a"), chooser.chosenEndpoints())
        }
    }

    @Nested
    inner class `given engines with long queues` {
        @Test
        fun `a request is refused as not run when its deadline in the queue has passed`() = runTest {
            environment.queuedTokens = 100_000
            val chooser = startChooser()
            val refusal = assertIs<Either.Left<Failure>>(chooser.choose(work, emptySet())).value
            assertEquals(Effect.NOT_RUN, refusal.effect)
            assertTrue(checkNotNull(refusal.retryAfter) >= 1.seconds)
            assertTrue(currentTime <= 2_450, "refused at $currentTime ms")
        }

        @Test
        fun `a queued request is placed when the queue of an engine becomes short`() = runTest {
            environment.queuedTokens = 100_000
            val chooser = startChooser()
            val choice = async { chooser.choose(work, emptySet()) }
            environment.queuedTokens = 0
            assertTrue(choice.await().isRight())
        }

        @Test
        fun `the place of a cancelled request is released`() = runTest {
            environment.queuedTokens = 100_000
            val chooser = startChooser()
            val choice = async { chooser.choose(work, emptySet()) }
            advanceTimeBy(20.milliseconds)
            choice.cancel()
            environment.queuedTokens = 0
            advanceTimeBy(1.seconds)
            assertFalse(choice.isActive)
            assertEquals(setOf("a", "b"), chooser.chosenEndpoints())
        }
    }
}
