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

    private suspend fun listedAddresses(fleet: TestFleet, at: Instance): List<String> {
        val body = fleet.client.get("http://${at.callerAddress}/v1/instances").bodyAsText()
        return Json.decodeFromString(InstanceAddresses.serializer(), body).instances.map { it.address }
    }

    private fun sendCompletion(fleet: TestFleet, number: Int): Deferred<Pair<HttpStatusCode, String>> = scope.async {
        val body = """{"model":"ledger-small","stream":true,"prompt":"coat $number"}"""
        fleet.post("/v1/completions", body).execute { it.status to it.bodyAsText() }
    }

    private fun assertComplete(number: Int, body: String) {
        val texts = Regex("\"text\":\"([^\"]*)\"").findAll(body).map { it.groupValues[1] }
        assertEquals(GeneratedText("coat $number").text(GeneratedText("coat $number").length), texts.joinToString(""))
        assertTrue(body.trim().endsWith("data: [DONE]"), "answer $number has no end marker")
    }

    @Nested
    inner class `given three instances under load, one of which performs a planned stop` {
        @Test
        fun `all answers are complete, later requests are referred to others, and no list contains it`() {
            TestFleet(count = 3).use { fleet ->
                runBlocking {
                    TestFleet.awaitTrue { listedAddresses(fleet, fleet.instances[1]).size == 3 }
                    val requests = ArrayList<Deferred<Pair<HttpStatusCode, String>>>()
                    repeat(20) { requests.add(sendCompletion(fleet, it)) }
                    val drain = scope.async { fleet.instance.drain() }
                    TestFleet.awaitTrue { fleet.instance.callerAddress !in listedAddresses(fleet, fleet.instances[1]) }
                    while (!drain.isCompleted) {
                        requests.add(sendCompletion(fleet, requests.size))
                        delay(10)
                    }
                    val answers = requests.awaitAll()
                    answers.forEachIndexed { number, (status, body) ->
                        if (status == HttpStatusCode.OK) assertComplete(number, body) else assertReferred(fleet, body)
                    }
                    assertTrue(answers.count { it.first == HttpStatusCode.OK } > 20)
                    assertReferred(fleet, sendCompletion(fleet, 0).await().second)
                }
            }
        }
    }

    private fun assertReferred(fleet: TestFleet, body: String) {
        assertContains(body, "instance_stopping")
        assertContains(body, "\"outcome\":\"not_run\"")
        assertTrue(fleet.instances.drop(1).all { it.callerAddress in body }, body)
    }
}
