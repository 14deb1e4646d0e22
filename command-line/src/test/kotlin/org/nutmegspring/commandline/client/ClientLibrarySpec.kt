package org.nutmegspring.commandline.client

import com.openai.client.OpenAIClient
import com.openai.client.okhttp.OpenAIOkHttpClient
import com.openai.errors.NotFoundException
import com.openai.errors.UnauthorizedException
import com.openai.models.chat.completions.ChatCompletionCreateParams
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import org.nutmegspring.measure.fleet.LocalFleet
import org.nutmegspring.measure.fleet.LocalFleetSettings
import org.nutmegspring.standin.engine.GeneratedText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.time.Duration.Companion.minutes

/** Calls an instance with a public client library of the completions protocol, unmodified. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ClientLibrarySpec {
    private val fleet = LocalFleet(LocalFleetSettings(instances = 1, dataCentres = 1))
    private val client = client(fleet.key)

    @BeforeAll
    fun awaitReady() = runBlocking { fleet.awaitReady() }

    @AfterAll
    fun stop() {
        client.close()
        fleet.close()
    }

    private fun client(key: String): OpenAIClient = OpenAIOkHttpClient.builder()
        .baseUrl("http://${fleet.instances.first().callerAddress}/v1")
        .apiKey(key)
        .maxRetries(0)
        .build()

    private fun chat(text: String, model: String = "ledger-small") =
        ChatCompletionCreateParams.builder().model(model).addUserMessage(text).build()

    @Nested
    inner class `given the library's calls` {
        @Test
        fun `a whole chat is read with its usage`() {
            val completion = client.chat().completions().create(chat("whole"))
            val expected = GeneratedText("user: whole")
            assertEquals(expected.text(256), completion.choices().single().message().content().get())
            assertEquals(expected.length, completion.usage().get().completionTokens())
        }

        @Test
        fun `a streamed chat is read to its end`() {
            val text = client.chat().completions().createStreaming(chat("streamed")).use { response ->
                response.stream().toList().joinToString("") { chunk ->
                    chunk.choices().firstOrNull()?.delta()?.content()?.orElse("").orEmpty()
                }
            }
            assertEquals(GeneratedText("user: streamed").text(256), text)
        }

        @Test
        fun `closing a stream early frees the engine`() = runBlocking {
            client.chat().completions().createStreaming(chat("cancelled")).use { it.stream().findFirst() }
            withTimeout(1.minutes) {
                while (fleet.engines.any { it.state().runningRequests > 0 }) delay(20)
            }
        }

        @Test
        fun `the models are listed`() {
            assertEquals(listOf("ledger-small"), client.models().list().data().map { it.id() })
        }
    }

    @Nested
    inner class `given errors` {
        @Test
        fun `a wrong key is the library's authentication error`() {
            client("nsk_wrong").let { wrong ->
                assertFailsWith<UnauthorizedException> { wrong.chat().completions().create(chat("x")) }
                wrong.close()
            }
        }

        @Test
        fun `an unknown model is the library's not-found error with our code`() {
            val error = assertFailsWith<NotFoundException> { client.chat().completions().create(chat("x", "other")) }
            assertEquals("model_not_found", error.code().get())
        }
    }
}
