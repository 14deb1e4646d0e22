package org.nutmegspring.node.limits

import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import org.nutmegspring.node.TestFleet
import org.nutmegspring.platform.ObjectKey
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class SharedRateLimiterSpec {
    private val fleet by lazy { TestFleet() }

    @AfterAll
    fun stop() = fleet.close()

    private fun post(maximumTokens: Int) = runBlocking {
        val body = """{"model":"ledger-small","max_tokens":$maximumTokens,
            "messages":[{"role":"user","content":"where is my coat"}]}"""
        fleet.post("/v1/chat/completions", body, fleet.smallKey).execute {
            Answer(it.status, it.headers[HttpHeaders.RetryAfter], it.bodyAsText())
        }
    }

    @Nested
    inner class `given an organisation with a small rate and burst` {
        @Test
        fun `requests are served up to the burst and then refused with a retry-after time`() {
            val answers = List(30) { post(maximumTokens = 100) }
            assertEquals(HttpStatusCode.OK, answers.first().status)
            val refused = answers.first { it.status != HttpStatusCode.OK }
            assertEquals(HttpStatusCode.TooManyRequests, refused.status)
            assertTrue(assertNotNull(refused.retryAfter).toInt() >= 1)
            assertContains(refused.text, "not_run")
        }

        @Test
        fun `a request that exceeds the burst is refused without a retry-after time`() {
            val refused = post(maximumTokens = 400)
            assertEquals(HttpStatusCode.BadRequest, refused.status)
            assertEquals(null, refused.retryAfter)
        }
    }

    @Nested
    inner class `given a started instance` {
        @Test
        fun `it holds the slots of all shards and reports them in its metrics`() {
            post(maximumTokens = 1)
            assertEquals(16, fleet.platform.objects.list(ObjectKey("limits/slots/")).size)
            val metrics =
                runBlocking { fleet.client.get("http://${fleet.instance.callerAddress}/metrics").bodyAsText() }
            assertContains(metrics, "nutmegspring_limits_slots 144.0")
        }
    }

    private class Answer(val status: HttpStatusCode, val retryAfter: String?, val text: String)
}
