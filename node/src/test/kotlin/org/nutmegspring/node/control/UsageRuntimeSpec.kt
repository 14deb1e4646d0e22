package org.nutmegspring.node.control

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.Revision
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.membership.MemberState
import org.nutmegspring.node.TestFleet
import org.nutmegspring.node.membership.Membership
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.standin.platform.PlatformStandIn
import org.nutmegspring.storeclient.createHttpPlatform
import org.nutmegspring.time.systemMonotonicClock
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class UsageRuntimeSpec {
    private object SingleInstance : Membership, InnerNetwork {
        override val self = MemberState(
            id = InstanceId("entry-1"),
            incarnation = Incarnation(7),
            dataCentre = DataCentreId("rennes"),
            callerAddress = "",
            innerAddress = "",
            phase = InstancePhase.READY,
            load = 0.0,
            revision = Revision.NONE,
            evidenceAge = Duration.ZERO,
            storeEvidenceAge = null,
        )
        override val isSelfListed: Boolean = true

        override fun peers(): List<MemberState> = emptyList()

        override fun listedInstances(): Set<InstanceId> = setOf(self.id)

        override fun addHandler(handler: InnerHandler) = Unit

        override suspend fun exchange(
            to: InstanceId,
            request: InnerRequest,
            timeout: Duration,
        ): Either<Failure, InnerReply> = Failure(Step.EXCHANGE, Peer("$to"), Effect.NOT_RUN, "no other instance").left()
    }

    @Nested
    inner class `given an instance that counts usage` {
        @Test
        fun `reports the usage to the platform once, in windows fixed in the store`() = runBlocking {
            val platform = PlatformStandIn()
            val server = platform.start("127.0.0.1", 0)
            val store = createHttpPlatform(server.address)
            val scope = CoroutineScope(Job() + Dispatchers.Default)
            val options = UsageOptions(window = 200.milliseconds, gracePeriod = 50.milliseconds, shardCount = 2)
            val clock = systemMonotonicClock()
            val time = AtomicLong(WINDOW_START)
            val fleet = SingleInstance
            val incarnation = fleet.self.incarnation
            val parts = UsageParts(incarnation, store, server.address, fleet, fleet, clock, time::get, options)
            val usage = UsageRuntime(parts)
            usage.start(scope)
            repeat(5) { usage.count(OrganisationId("tags"), 10, 2) }
            usage.count(null, 1, 1)
            TestFleet.awaitTrue {
                time.addAndGet(STEP)
                platform.usage.reports().sumOf { it.figures.size } > 0
            }
            val figures = platform.usage.reports().flatMap { it.figures }
            assertEquals(Triple(50L, 10L, 5L), figures.single().run { Triple(promptTokens, outputTokens, executions) })
            usage.release()
            scope.cancel()
            listOf(usage, store, server).forEach { it.close() }
        }
    }

    private companion object {
        /** The start of a window, in milliseconds since the epoch. */
        const val WINDOW_START = 1_000_000L

        /** The step of the simulated clock in milliseconds, less than a window. */
        const val STEP = 50L
    }
}
