package org.nutmegspring.commandline.explain

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class RequestStorySpec {
    private fun line(at: Long, instance: String, event: String, vararg fields: Pair<String, String>): DecisionLine {
        val pairs = fields.joinToString(",") { (name, value) -> """{"$name":"$value"}""" }
        val text = """{"timestamp":$at,"level":"INFO","kvpList":[$pairs],"formattedMessage":"$event"}"""
        return assertNotNull(readDecisionLine(text, instance))
    }

    private val log = listOf(
        line(900, "b", "attempt failed", "request" to "other", "endpoint" to "e1"),
        line(1_300, "a", "request ended", "request" to "r", "outcome" to "failed", "endpoints" to "e1"),
        line(1_200, "a", "attempt failed", "request" to "r", "endpoint" to "e1", "reason" to "no answer"),
        line(100, "a", "configuration applied", "version" to "1"),
        line(200, "a", "configuration applied", "version" to "2"),
        line(300, "a", "dependency lost", "dependency" to "store: configuration"),
        line(400, "a", "dependency regained", "dependency" to "store: configuration"),
        line(500, "a", "dependency lost", "dependency" to "store: endpoints"),
        line(600, "a", "endpoint changed", "endpoint" to "e1", "change" to "appeared"),
        line(600, "a", "endpoint changed", "endpoint" to "e2", "change" to "appeared"),
        line(2_000, "a", "endpoint changed", "endpoint" to "e1", "change" to "gone"),
        line(100, "c", "configuration applied", "version" to "1"),
    )

    @Nested
    inner class `given the logs of several instances` {
        private val story = assertNotNull(storyOf("r", log))

        @Test
        fun `the lines of the request are told in order of time`() =
            assertEquals(listOf("attempt failed", "request ended"), story.lines.map { it.event })

        @Test
        fun `only the beliefs that held are told, of the instances that served it and the endpoints that it met`() {
            val told = story.beliefs.map { it.event to it.fields.values.first() }
            val expected = listOf(
                "configuration applied" to "2",
                "dependency lost" to "store: endpoints",
                "endpoint changed" to "e1",
            )
            assertEquals(expected, told)
        }

        @Test
        fun `other failures of its endpoints at that time are counted`() =
            assertEquals(mapOf("e1" to 1), story.failuresNearby)
    }

    @Nested
    inner class `given a request that was refused for a prompt part` {
        private val reason = "engines crash under the prompt part 5c1e07a2"

        @Test
        fun `the quarantine of this part and the limits of endpoints are told`() {
            val refused = listOf(
                line(100, "a", "prompt part changed", "promptPart" to "5c1e07a2", "change" to "suspected"),
                line(200, "a", "prompt part changed", "promptPart" to "5c1e07a2", "change" to "quarantined"),
                line(200, "a", "prompt part changed", "promptPart" to "91bd3f06", "change" to "suspected"),
                line(300, "a", "endpoint limit changed", "endpoint" to "e3", "requestsPerSecond" to "3.2"),
                line(400, "a", "request ended", "request" to "r", "outcome" to "refused", "reason" to reason),
            )
            val beliefs = assertNotNull(storyOf("r", refused)).beliefs
            assertEquals(listOf("quarantined", "3.2"), beliefs.map { it.fields.values.last() })
        }
    }

    @Nested
    inner class `given no line of the request` {
        @Test
        fun `there is no story`() = assertNull(storyOf("unknown", log))
    }

    @Nested
    inner class `given lines of other kinds` {
        @Test
        fun `they are passed over`() {
            assertNull(readDecisionLine("Exception in thread main", "a"))
            assertNull(readDecisionLine("{not json", "a"))
            assertNull(readDecisionLine("""{"level":"INFO"}""", "a"))
        }

        @Test
        fun `a name before the object is that of the instance`() {
            val text = """ 12.5 frontend-1 {"timestamp":5,"kvpList":[],"formattedMessage":"x"}"""
            assertEquals("frontend-1", readDecisionLine(text, "all.log")?.instance)
        }
    }
}
