package org.nutmegspring.node.http

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.endpoint.EndpointKind
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ListedEndpoint
import org.nutmegspring.platform.ListedInstance
import org.nutmegspring.platform.ListedState
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.VersionedObject
import org.nutmegspring.storeclient.createHttpPlatform
import org.nutmegspring.storeclient.platformJson
import kotlin.test.Test
import kotlin.test.assertEquals

// Guards `serve` against one entry that another writer left in a list: none of the others was read.
class OddListEntriesSpec {
    private val server = CuttingServer()
    private val platform = createHttpPlatform(server.address)

    @AfterEach
    fun close() {
        platform.close()
        server.close()
    }

    private fun answerWith(entries: List<String>) {
        val body = entries.joinToString(",", "[", "]").encodeToByteArray()
        server.answerWith(listOf("HTTP/1.1 200 OK\r\nContent-Length: ${body.size}\r\n\r\n".encodeToByteArray() + body))
    }

    /** Checks that [read] returns [first] and [second] from a list with one odd entry between them. */
    private fun <T> assertOthersRead(serializer: KSerializer<T>, first: T, second: T, read: suspend () -> List<T>?) {
        val sound = platformJson.encodeToString(serializer, first)
        val nameless = sound.replaceFirst("id\":", "di\":").replaceFirst("key\":", "yek\":")
        val ofOtherTypes = sound.replace(Regex("\"(LIVE|a/a)\""), "[]")
        val ofOtherAddresses = ODD_ADDRESSES.map { sound.replace(ADDRESS, it) }.filter { it != sound }
        (listOf("7", "null", "\"text\"", "[]", "{}", nameless, ofOtherTypes) + ofOtherAddresses).forEach { odd ->
            answerWith(listOf(sound, odd, platformJson.encodeToString(serializer, second)))
            assertEquals(listOf(first, second), runBlocking { read() }, odd)
        }
    }

    private fun endpoint(id: String) = ListedEndpoint(
        EndpointDescription(EndpointId(id), EndpointKind.Engine, DataCentreId("rennes"), ADDRESS),
        ListedState.LIVE,
    )

    private fun instance(id: String) =
        ListedInstance(InstanceId(id), DataCentreId("rennes"), ADDRESS, ADDRESS, ListedState.LIVE)

    private fun stored(key: String) = VersionedObject(ObjectKey(key), ObjectVersion(1), "")

    @Nested
    inner class `given an odd entry among the others` {
        @Test
        fun `the other endpoints are listed`() =
            assertOthersRead(ListedEndpoint.serializer(), endpoint("a"), endpoint("b")) {
                platform.endpoints().getOrNull()
            }

        @Test
        fun `the other instances are listed`() =
            assertOthersRead(ListedInstance.serializer(), instance("a"), instance("b")) {
                platform.instances().getOrNull()
            }

        @Test
        fun `the other objects are listed`() =
            assertOthersRead(VersionedObject.serializer(), stored("a/a"), stored("a/b")) {
                platform.list(ObjectKey("a/")).getOrNull()
            }
    }

    private companion object {
        const val ADDRESS = "127.0.0.1:1"
        val ODD_ADDRESSES = listOf(
            "",
            ":",
            ":80",
            "127.0.0.1",
            "127.0.0.1:",
            "127.0.0.1:port",
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            "127.0.0.1:0",
            "[::1",
            "a b:80",
            "a%:80",
            "127.0.0.1:1/x?y#z",
            "user@127.0.0.1:1",
            "localhost:80",
        )
    }
}
