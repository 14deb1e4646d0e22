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
    fun clearFaults() {
        fleet.platform.faults = PlatformFaults()
    }

    @AfterAll
    fun stop() = fleet.close()

    private suspend fun confirm(at: Instance, key: String?, body: String = "fare 7"): Pair<HttpStatusCode, String> =
        fleet.post("/services/tags/confirm", body, at = at, idempotencyKey = key)
            .execute { it.status to it.bodyAsText() }

    private suspend fun issueTicket(at: Instance): String {
        val answer = fleet.post("/v1/tickets", "", at = at).execute { it.bodyAsText() }
        return Json.decodeFromString(TicketAnswer.serializer(), answer).ticket
    }

    private suspend fun confirmEverywhere(key: String): List<Pair<HttpStatusCode, String>> {
        val targets = fleet.instances + fleet.instances
        return with(CoroutineScope(Dispatchers.Default)) {
            targets.map { async { confirm(it, key) } }.awaitAll()
        }
    }

    private fun assertRanOnce(key: String, answers: List<Pair<HttpStatusCode, String>>) {
        assertEquals(1, fleet.services.executed(key))
        assertEquals(1, answers.distinct().size, "$answers")
        assertEquals(HttpStatusCode.OK, answers.first().first)
    }

    @Nested
    inner class `given a key that the caller generated` {
        @Test
        fun `requests at all instances at once run once and get the same answer`() = runBlocking {
            assertRanOnce("order-1", confirmEverywhere("order-1"))
        }

        @Test
        fun `a later repeat at another instance gets the answer of the first request`() = runBlocking {
            val first = confirm(fleet.instances[0], "order-2")
            assertRanOnce("order-2", listOf(first, confirm(fleet.instances[1], "order-2")))
        }

        @Test
        fun `it is refused for a different request`() = runBlocking {
            confirm(fleet.instances[0], "order-3")
            val (status, body) = confirm(fleet.instances[1], "order-3", body = "fare 8")
            assertEquals(HttpStatusCode.UnprocessableEntity, status)
            assertContains(body, "idempotency_key_rejected")
            assertEquals(1, fleet.services.executed("order-3"))
        }

        @Test
        fun `the request runs when a reply of the store is lost`() = runBlocking {
            fleet.platform.faults = PlatformFaults(lostReplies = 1)
            assertRanOnce("order-4", listOf(confirm(fleet.instances[0], "order-4")))
        }

        @Test
        fun `the request is refused as not run while the store is down`() = runBlocking {
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
            val ticket = issueTicket(fleet.instances[1])
            assertRanOnce(ticket, confirmEverywhere(ticket))
        }

        @Test
        fun `requests run once while the store is down`() = runBlocking {
            fleet.platform.faults = PlatformFaults(down = true)
            val ticket = issueTicket(fleet.instances[0])
            assertRanOnce(ticket, confirmEverywhere(ticket))
        }

        @Test
        fun `a request with a ticket that this fleet did not issue does not run`() = runBlocking {
            val forged = issueTicket(fleet.instances[0]).dropLast(2) + "xx"
            val (status, _) = confirm(fleet.instances[2], forged)
            assertEquals(HttpStatusCode.UnprocessableEntity, status)
            assertEquals(0, fleet.services.executed(forged))
        }
    }

    @Nested
    inner class `given no key` {
        @Test
        fun `the request runs once`() = runBlocking {
            val before = fleet.services.executed
            assertTrue(confirm(fleet.instances[0], key = null).first == HttpStatusCode.OK)
            assertEquals(before + 1, fleet.services.executed)
        }
    }
}
