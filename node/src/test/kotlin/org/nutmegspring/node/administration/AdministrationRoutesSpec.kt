package org.nutmegspring.node.administration

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class AdministrationRoutesSpec {
    private val fixture = AdministrationFixture()
    private val ifAbsent = mapOf("If-None-Match" to "*")

    @AfterEach
    fun close() = fixture.close()

    private fun organisation(name: String) =
        """{"id": "brest", "name": "$name", "rate": {"tokensPerSecond": 10, "burstTokens": 100}}"""

    private suspend fun put(name: String, headers: Map<String, String>) =
        fixture.call(HttpMethod.Put, "organisations/brest", organisation(name), headers = headers)

    private suspend fun error(response: HttpResponse) = administrationJson
        .decodeFromString(AdministrationErrorBody.serializer(), response.bodyAsText()).error

    private suspend fun grant(): KeyGrantAnswer {
        put("Brest", ifAbsent)
        val response = fixture.call(HttpMethod.Post, "keys", """{"organisation": "brest"}""")
        return administrationJson.decodeFromString(KeyGrantAnswer.serializer(), response.bodyAsText())
    }

    @Nested
    inner class `an operator` {
        @Test
        fun `without a valid token is refused`() = runBlocking {
            assertEquals(401, fixture.call(HttpMethod.Get, "organisations", token = null).status.value)
            assertEquals(401, fixture.call(HttpMethod.Get, "organisations", token = "other").status.value)
        }

        @Test
        fun `who changes a part without a precondition is refused`() = runBlocking {
            assertEquals("precondition_required", error(put("Brest", emptyMap())).code)
        }

        @Test
        fun `receives the revision of a change and that it is in force`() = runBlocking {
            val answer = administrationJson
                .decodeFromString(RevisionAnswer.serializer(), put("Brest", ifAbsent).bodyAsText())
            assertEquals(RevisionAnswer(Revision(1), accepted = true, inForce = true, lagging = emptyList()), answer)
            val status = fixture.call(HttpMethod.Get, "revisions/1").bodyAsText()
            assertEquals(answer, administrationJson.decodeFromString(RevisionAnswer.serializer(), status))
        }
    }

    @Nested
    inner class `two operators` {
        @Test
        fun `who change the same part conflict, and the second receives the other change`() = runBlocking {
            put("Brest", ifAbsent)
            assertEquals(200, put("Brest 2", mapOf("If-Match" to "\"1\"")).status.value)
            val second = put("Brest 3", mapOf("If-Match" to "\"1\""))
            assertEquals(409, second.status.value)
            val error = error(second)
            assertEquals("organisation/brest was changed at revision 2 by anne", error.message)
            assertTrue("Brest 2" in error.current?.value.toString())
        }

        @Test
        fun `who create the same part conflict`() = runBlocking {
            put("Brest", ifAbsent)
            assertEquals("conflict", error(put("Brest 2", ifAbsent)).code)
        }
    }

    @Nested
    inner class `a part` {
        @Test
        fun `that is invalid is refused with all its problems`() = runBlocking {
            val body = """{"id": "brest", "name": "", "rate": {"tokensPerSecond": -1, "burstTokens": 1}}"""
            val error = error(fixture.call(HttpMethod.Put, "organisations/brest", body, headers = ifAbsent))
            assertEquals(setOf("name", "rate.tokensPerSecond"), error.problems.map { it.field }.toSet())
        }

        @Test
        fun `that does not exist is not found`() = runBlocking {
            assertEquals(404, fixture.call(HttpMethod.Get, "plans/rennes").status.value)
        }

        @Test
        fun `of each kind can be put and listed`() = runBlocking {
            val bodies = mapOf(
                "services/tags" to """{"id": "tags", "notRepeatable": [{"method": "POST", "pathPrefix": "/a"}]}""",
                "plans/rennes" to
                    """{"dataCentre": "rennes", "season": "summer", "standardEngines": {"least": 1, "most": 4}}""",
                "endpoints/e1" to """{"id": "e1", "fencing": "IGNORED"}""",
            )
            bodies.forEach { (path, body) ->
                assertEquals(200, fixture.call(HttpMethod.Put, path, body, headers = ifAbsent).status.value, path)
                val list = fixture.call(HttpMethod.Get, path.substringBefore('/')).bodyAsText()
                assertTrue(path.substringAfter('/') in list, list)
            }
        }
    }

    @Nested
    inner class `a key` {
        @Test
        fun `is valid from its grant until its revocation`() = runBlocking {
            val grant = grant()
            val view = fixture.runtime.view
            val key = view.authenticate(grant.secret).getOrNull()
            assertEquals(grant.key.id, key?.id)
            fixture.call(HttpMethod.Delete, "keys/${grant.key.id}")
            assertTrue(view.authenticate(grant.secret).isLeft())
            assertFalse(view.isValid(key!!))
        }

        @Test
        fun `is listed without its secret and its hash`() = runBlocking {
            val grant = grant()
            val hash = fixture.runtime.state.configuration.keys.keys.first().value
            val list = fixture.call(HttpMethod.Get, "keys").bodyAsText()
            assertTrue(grant.key.id.value in list)
            assertFalse(hash in list || grant.secret in list)
        }

        @Test
        fun `of an unknown organisation is refused`() = runBlocking {
            val response = fixture.call(HttpMethod.Post, "keys", """{"organisation": "none"}""")
            assertEquals("missing_reference", error(response).code)
        }
    }

    @Nested
    inner class `a sheet` {
        private val validSheet = "organisation,name,crew,venues,tokens_per_second,burst_tokens\n" +
            "brest,Brest,12,hall;foyer,10,100\n"

        @Test
        fun `is applied as a whole`() = runBlocking {
            assertEquals(200, fixture.call(HttpMethod.Post, "sheet", validSheet).status.value)
            val organisation = fixture.runtime.state.configuration.organisations.values.single()
            assertEquals(12, organisation.crew)
            assertEquals(setOf("hall", "foyer"), organisation.venues)
        }

        @Test
        fun `changes nothing in a dry run`() = runBlocking {
            val response = fixture.call(HttpMethod.Post, "sheet?dryRun=true", validSheet)
            val answer = administrationJson.decodeFromString(SheetAnswer.serializer(), response.bodyAsText())
            assertEquals("12", answer.differences.single { it.field == "crew" }.after)
            assertEquals(Revision.NONE, fixture.runtime.state.revision)
        }

        @Test
        fun `is refused as a whole with all its problems listed`() = runBlocking {
            val invalidSheet = validSheet + "vannes,Vannes,many,,-1,100\nbrest,Brest,1,,1,1\nquimper,Quimper,1,,1,\n"
            val error = error(fixture.call(HttpMethod.Post, "sheet", invalidSheet))
            val found = error.problems.map { it.line to it.field }
            assertEquals(
                listOf(
                    3L to "crew",
                    3L to "tokens_per_second",
                    4L to "organisation",
                    5L to "burst_tokens",
                ),
                found,
            )
            assertEquals(Revision.NONE, fixture.runtime.state.revision)
        }
    }
}
