package org.nutmegspring.node.membership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Nested
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.Revision
import org.nutmegspring.membership.InstancePhase
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ListedState
import org.nutmegspring.platform.PlatformLists
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.protocol.InnerHandler
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class HeartbeatMembershipSpec {
    private val isolated = HashSet<InstanceId>()
    private val handlers = HashMap<InstanceId, InnerHandler>()
    private var ids = List(4) { InstanceId("i$it") }
    private val bytesByInstance = HashMap<InstanceId, Long>()

    private inner class FakeNetwork(private val own: InstanceId) : InnerNetwork {
        override fun addHandler(handler: InnerHandler) {
            handlers[own] = handler
        }

        override suspend fun exchange(
            to: InstanceId,
            request: InnerRequest,
            timeout: Duration,
        ): Either<Failure, InnerReply> {
            val handler = handlers[to]
            if (own in isolated || to in isolated || handler == null) {
                delay(timeout)
                return Failure(Step.EXCHANGE, Peer("instance $to"), Effect.UNKNOWN, "no reply").left()
            }
            delay(2.milliseconds)
            val reply = handler.handle(own, request)!!
            val bytes = encodedSize(InnerRequest.serializer(), request) + encodedSize(InnerReply.serializer(), reply)
            listOf(own, to).forEach { bytesByInstance.merge(it, bytes, Long::plus) }
            return reply.right()
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun <T> encodedSize(serializer: KSerializer<T>, message: T): Long =
        Cbor.encodeToByteArray(serializer, message).size + FRAME_BYTES

    private val lists = object : PlatformLists {
        override suspend fun instances(): Either<StoreFailure, List<ListedInstance>> = ids.map {
            ListedInstance(it, DataCentreId("rennes"), "127.0.0.1:1", "127.0.0.1:2", ListedState.LIVE)
        }.right()

        override suspend fun endpoints(): Either<StoreFailure, List<ListedEndpoint>> =
            emptyList<ListedEndpoint>().right()
    }

    private val status = object : SelfStatus {
        override fun load() = 0.5

        override fun revision() = Revision(3)

        override fun storeEvidenceAge() = 1.seconds
    }

    private fun TestScope.start(id: InstanceId): HeartbeatMembership {
        val clock = MonotonicClock { MonotonicTime.ZERO + testScheduler.currentTime.milliseconds }
        val description =
            SelfDescription(id, Incarnation(1), DataCentreId("rennes"), "127.0.0.1:1", "127.0.0.1:2")
        val membership = HeartbeatMembership(description, status, lists, clock, random = Random(1))
        membership.phase = InstancePhase.READY
        membership.start(FakeNetwork(id), backgroundScope)
        return membership
    }

    @Nested
    inner class `given instances that can reach each other` {
        @Test
        fun `each knows the others and the age of their store evidence`() = runTest {
            val members = ids.map { start(it) }
            delay(3.seconds)
            members.forEach { member ->
                val peers = member.peers()
                assertEquals(ids - member.self.id, peers.map { it.id })
                assertTrue(peers.all { it.phase == InstancePhase.READY && it.revision == Revision(3) })
                assertTrue(peers.all { it.evidenceAge <= 1.seconds && it.storeEvidenceAge!! >= 1.seconds })
            }
        }

        @Test
        fun `a change of phase reaches all instances within two seconds`() = runTest {
            val members = ids.map { start(it) }
            delay(3.seconds)
            members[0].phase = InstancePhase.DRAINING
            delay(2.seconds)
            val known = members.drop(1).map { member -> member.peers().first { it.id == ids[0] }.phase }
            assertTrue(known.all { it == InstancePhase.DRAINING })
        }

        @Test
        fun `a departing endpoint reaches all instances within two seconds`() = runTest {
            val members = ids.map { start(it) }
            delay(3.seconds)
            members[2].reportDeparting(EndpointId("engine-7"))
            delay(2.seconds)
            assertTrue(members.all { it.departingEndpoints() == setOf(EndpointId("engine-7")) })
        }
    }

    @Nested
    inner class `given nine instances` {
        @Test
        fun `heartbeats use less than the limit of 16 KB per second for control traffic of an instance`() = runTest {
            ids = List(9) { InstanceId("entry-rennes-$it") }
            val members = ids.map { start(it) }
            delay(3.seconds)
            bytesByInstance.clear()
            delay(60.seconds)
            assertTrue(members.all { it.peers().size == 8 })
            val maximumRate = bytesByInstance.values.max() / 60
            assertTrue(maximumRate < 16 * 1024, "$maximumRate bytes per second, sent and received")
        }
    }

    @Nested
    inner class `given an instance that is isolated from the others` {
        @Test
        fun `neither side considers the other alive, and the list still contains all`() = runTest {
            val members = ids.map { start(it) }
            delay(3.seconds)
            isolated.add(ids[0])
            delay(12.seconds)
            assertTrue(members[0].peers().isEmpty())
            assertEquals(ids.toSet(), members[0].listedInstances())
            assertTrue(members.drop(1).all { member -> member.peers().none { it.id == ids[0] } })
            isolated.clear()
            delay(3.seconds)
            assertEquals(3, members[0].peers().size)
        }
    }

    private companion object {
        const val FRAME_BYTES = 20L
    }
}
