package org.nutmegspring.node.administration

import io.ktor.client.request.delete
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.runBlocking
import kotlinx.io.readString
import org.junit.jupiter.api.Nested
import org.nutmegspring.node.TestFleet
import org.nutmegspring.standin.engine.EngineCost
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class RevocationSpec {
    private fun chat(tokens: Int) =
        """{"model":"ledger-small","stream":true,"max_tokens":$tokens,"messages":[{"role":"user","content":"a"}]}"""

    private suspend fun revoke(fleet: TestFleet) =
        fleet.client.delete("http://${fleet.instance.callerAddress}/admin/v1/keys/k1") {
            header(HttpHeaders.Authorization, "Bearer ${fleet.operatorToken}")
        }

    @Nested
    inner class `a revoked key` {
        @Test
        fun `ends its running stream with an error and is then refused`() = TestFleet(cost = SLOW).use { fleet ->
            runBlocking {
                fleet.post(CHAT_PATH, chat(LONG_ANSWER_TOKENS)).execute { response ->
                    val channel = response.bodyAsChannel()
                    val first = channel.readLine().orEmpty()
                    assertContains(first, "data: {", message = first)
                    assertTrue(revoke(fleet).status.isSuccess())
                    val rest = channel.readRemaining().readString()
                    assertContains(rest, "invalid_api_key")
                    assertFalse("[DONE]" in rest)
                }
                fleet.post(CHAT_PATH, chat(SHORT_ANSWER_TOKENS)).execute { response ->
                    assertEquals(HttpStatusCode.Unauthorized, response.status)
                    assertContains(response.bodyAsText(), "not_run")
                }
            }
        }
    }

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val LONG_ANSWER_TOKENS = 60
        const val SHORT_ANSWER_TOKENS = 4
        val SLOW = EngineCost(iteration = 150.milliseconds)
    }
}
