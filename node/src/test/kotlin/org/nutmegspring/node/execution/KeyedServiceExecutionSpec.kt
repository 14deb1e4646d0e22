package org.nutmegspring.node.execution

import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import org.nutmegspring.node.TestFleet
import org.nutmegspring.node.instance.Instance
import org.nutmegspring.standin.platform.PlatformFaults
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class KeyedServiceExecutionSpec {
    private val fleet by lazy { TestFleet(count = 3) }

    @AfterEach
    fun heal() {
        fleet.platform.faults = PlatformFaults()
    }

    @AfterAll
    fun stop() = fleet.close()

    private suspend fun confirm(at: Instance, key: String?, body: String = "fare 7"): Pair<HttpStatusCode, String> =
        fleet.post("/services/tags/confirm", body, at = at, idempotencyKey = key)
            .execute { it.status to it.bodyAsText() }

    private suspend fun ticket(at: Instance): String {
        val answer = fleet.post("/v1/tickets", "", at = at).execute { it.bodyAsText() }
        return Json.decodeFromString(TicketAnswer.serializer(), answer).ticket
    }

    private suspend fun raced(key: String): List<Pair<HttpStatusCode, String>> {
        val everywhere = fleet.instances + fleet.instances
        return with(CoroutineScope(Dispatchers.Default)) {
            everywhere.map { async { confirm(it, key) } }.awaitAll()
        }
    }

    private fun assertRanOnce(key: String, answers: List<Pair<HttpStatusCode, String>>) {
        assertEquals(1, fleet.services.executed(key))
        assertEquals(1, answers.distinct().size, "$answers")
        assertEquals(HttpStatusCode.OK, answers.first().first)
    }

    @Nested
    inner class `given a key of the caller's own making` {
        @Test
        fun `requests at all instances at once run once and get the same answer`() = runBlocking {
            assertRanOnce("order-1", raced("order-1"))
        }

        @Test
        fun `a later repeat at another instance gets the first answer`() = runBlocking {
            val first = confirm(fleet.instances[0], "order-2")
            assertRanOnce("order-2", listOf(first, confirm(fleet.instances[1], "order-2")))
        }

        @Test
        fun `it is refused for another request`() = runBlocking {
            confirm(fleet.instances[0], "order-3")
            val (status, body) = confirm(fleet.instances[1], "order-3", body = "fare 8")
            assertEquals(HttpStatusCode.UnprocessableEntity, status)
            assertContains(body, "idempotency_key_rejected")
            assertEquals(1, fleet.services.executed("order-3"))
        }

        @Test
        fun `a lost reply of the store does not keep it from running`() = runBlocking {
            fleet.platform.faults = PlatformFaults(lostReplies = 1)
            assertRanOnce("order-4", listOf(confirm(fleet.instances[0], "order-4")))
        }

        @Test
        fun `it is refused as not run while the store is down`() = runBlocking {
            fleet.platform.faults = PlatformFaults(down = true)
            val (status, body) = confirm(fleet.instances[0], "order-5")
            assertEquals(HttpStatusCode.ServiceUnavailable, status)
            assertContains(body, "\"outcome\":\"not_run\"")
            assertEquals(0, fleet.services.executed("order-5"))
        }
    }

    @Nested
    inner class `given a ticket` {
        @Test
        fun `requests at all instances at once run once and get the same answer`() = runBlocking {
            val ticket = ticket(fleet.instances[1])
            assertRanOnce(ticket, raced(ticket))
        }

        @Test
        fun `it works while the store is down`() = runBlocking {
            fleet.platform.faults = PlatformFaults(down = true)
            val ticket = ticket(fleet.instances[0])
            assertRanOnce(ticket, raced(ticket))
        }

        @Test
        fun `a ticket that this fleet did not issue runs nothing`() = runBlocking {
            val forged = ticket(fleet.instances[0]).dropLast(2) + "xx"
            val (status, _) = confirm(fleet.instances[2], forged)
            assertEquals(HttpStatusCode.UnprocessableEntity, status)
            assertEquals(0, fleet.services.executed(forged))
        }
    }

    @Nested
    inner class `given no key` {
        @Test
        fun `the work is sent once`() = runBlocking {
            val before = fleet.services.executed
            assertTrue(confirm(fleet.instances[0], key = null).first == HttpStatusCode.OK)
            assertEquals(before + 1, fleet.services.executed)
        }
    }
}
