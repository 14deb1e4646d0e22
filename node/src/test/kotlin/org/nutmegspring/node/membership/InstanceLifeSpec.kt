package org.nutmegspring.node.membership

import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.nutmegspring.node.TestFleet
import org.nutmegspring.node.instance.Instance
import org.nutmegspring.standin.engine.GeneratedText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class InstanceLifeSpec {
    private val scope = CoroutineScope(Dispatchers.Default)

    private suspend fun named(fleet: TestFleet, at: Instance): List<String> {
        val body = fleet.client.get("http://${at.callerAddress}/v1/instances").bodyAsText()
        return Json.decodeFromString(InstanceAddresses.serializer(), body).instances.map { it.address }
    }

    private fun ask(fleet: TestFleet, number: Int): Deferred<Pair<HttpStatusCode, String>> = scope.async {
        val body = """{"model":"ledger-small","stream":true,"prompt":"coat $number"}"""
        fleet.post("/v1/completions", body).execute { it.status to it.bodyAsText() }
    }

    private fun assertWhole(number: Int, body: String) {
        val texts = Regex("\"text\":\"([^\"]*)\"").findAll(body).map { it.groupValues[1] }
        assertEquals(GeneratedText("coat $number").text(GeneratedText("coat $number").length), texts.joinToString(""))
        assertTrue(body.trim().endsWith("data: [DONE]"), "answer $number has no end mark")
    }

    @Nested
    inner class `given three instances, one of which is stopped as planned under load` {
        @Test
        fun `every answer is whole, later requests are told where to go, and no answer names it`() {
            TestFleet(count = 3).use { fleet ->
                runBlocking {
                    TestFleet.awaitTrue { named(fleet, fleet.instances[1]).size == 3 }
                    val asked = ArrayList<Deferred<Pair<HttpStatusCode, String>>>()
                    repeat(20) { asked.add(ask(fleet, it)) }
                    val drained = scope.async { fleet.instance.drain() }
                    TestFleet.awaitTrue { fleet.instance.callerAddress !in named(fleet, fleet.instances[1]) }
                    while (!drained.isCompleted) {
                        asked.add(ask(fleet, asked.size))
                        delay(10)
                    }
                    val answers = asked.awaitAll()
                    answers.forEachIndexed { number, (status, body) ->
                        if (status == HttpStatusCode.OK) assertWhole(number, body) else assertElsewhere(fleet, body)
                    }
                    assertTrue(answers.count { it.first == HttpStatusCode.OK } > 20)
                    assertElsewhere(fleet, ask(fleet, 0).await().second)
                }
            }
        }
    }

    private fun assertElsewhere(fleet: TestFleet, body: String) {
        assertContains(body, "instance_stopping")
        assertContains(body, "\"outcome\":\"not_run\"")
        assertTrue(fleet.instances.drop(1).all { it.callerAddress in body }, body)
    }
}
