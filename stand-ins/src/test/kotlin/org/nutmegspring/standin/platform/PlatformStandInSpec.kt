package org.nutmegspring.standin.platform

import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.failure.Effect
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.storeclient.createHttpPlatform
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

class PlatformStandInSpec {
    private val platform = PlatformStandIn()
    private val server = platform.start("127.0.0.1", 0)
    private val client = createHttpPlatform(server.address)
    private val key = ObjectKey("a/b")

    @AfterEach
    fun stop() {
        client.close()
        server.close()
    }

    @Nested
    inner class `given an object` {
        private val first = runBlocking { client.write(key, "one", WriteCondition.Absent) }

        @Test
        fun `it is read with the version of its write`() = runBlocking {
            assertEquals(ObjectVersion(1).right(), first)
            assertEquals(VersionedObject(key, ObjectVersion(1), "one").right(), client.read(key))
        }

        @Test
        fun `a write at another version conflicts and returns the object as it stands`() = runBlocking {
            val conflict = client.write(key, "two", WriteCondition.AtVersion(ObjectVersion(7)))
            assertEquals(StoreFailure.Conflict(VersionedObject(key, ObjectVersion(1), "one")).left(), conflict)
        }

        @Test
        fun `a watch returns the next version`() = runBlocking {
            val watch = async { client.watch(key, ObjectVersion(1), 20.seconds) }
            client.write(key, "two", WriteCondition.AtVersion(ObjectVersion(1)))
            assertEquals("two", watch.await().getOrNull()?.value)
        }

        @Test
        fun `a write whose reply is lost is unanswered and has taken effect`() = runBlocking {
            platform.faults = PlatformFaults(lostReplies = 1)
            val lost = client.write(key, "two", WriteCondition.AtVersion(ObjectVersion(1))).leftOrNull()
            assertIs<StoreFailure.Unanswered>(lost)
            assertEquals("two", client.read(key).getOrNull()?.value)
        }

        @Test
        fun `calls during an outage are refused without effect`() = runBlocking {
            platform.faults = PlatformFaults(down = true)
            val refused = client.write(key, "two", WriteCondition.AtVersion(ObjectVersion(1))).leftOrNull()
            assertEquals(Effect.NOT_RUN, assertIs<StoreFailure.Refused>(refused).failure.effect)
            assertEquals("one", platform.objects.read(key)?.value)
        }
    }

    @Nested
    inner class `given no object` {
        @Test
        fun `a read returns nothing`() = runBlocking {
            assertEquals(null.right(), client.read(key))
        }
    }
}
