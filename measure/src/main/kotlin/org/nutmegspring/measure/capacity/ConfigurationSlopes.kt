package org.nutmegspring.measure.capacity

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.ChainManifest
import org.nutmegspring.configuration.ChainState
import org.nutmegspring.configuration.ConfigurationChange
import org.nutmegspring.configuration.ConfigurationEdit
import org.nutmegspring.configuration.ConfigurationReplica
import org.nutmegspring.configuration.LastChange
import org.nutmegspring.configuration.OperatorName
import org.nutmegspring.configuration.Organisation
import org.nutmegspring.configuration.PartRecord
import org.nutmegspring.configuration.PartValue
import org.nutmegspring.configuration.ShardContent
import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.configuration.WriteId
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.KeyId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.Revision
import org.nutmegspring.node.configuration.hashSecret

/** What the configuration costs an instance, by the number of organisations, each with two keys. */
internal class ConfigurationSlopes(private val sizes: List<Int>) {
    /** The memory of the applied state, in bytes. */
    fun memory(): Slope = Slope.of("configuration: memory [B]", "organisations", sizes) { size ->
        heapBytes(ORGANISATIONS_TOGETHER / size) { state(size) }
    }

    /** The time to apply one change, in microseconds. */
    fun applyTime(): Slope = Slope.of("configuration: one change [us]", "organisations", sizes) { size ->
        val replica = ConfigurationReplica().apply { offer(state(size)) }
        medianMicroseconds(TRIALS, CHANGES) { index -> replica.offer(change(replica.state.revision.next(), index)) }
    }

    /** The time to find the organisation of a key, in microseconds. */
    fun authenticationTime(): Slope = Slope.of("keys: one look-up [us]", "organisations", sizes) { size ->
        val configuration = state(size).configuration
        medianMicroseconds(TRIALS, LOOKUPS) { index ->
            val key = configuration.keys[hashSecret(secret(index % size, 0))]
            checkNotNull(key) { "key $index is missing" }
        }
    }

    /** The size of one change in a message, in bytes. */
    @OptIn(ExperimentalSerializationApi::class)
    fun changeBytes(): Int = Cbor.encodeToByteArray(change(Revision(1), 0)).size

    private fun state(size: Int): ChainState {
        val mark = LastChange(Revision(1), OPERATOR)
        val values = (0 until size).flatMap { number ->
            listOf(PartValue.OrganisationValue(organisation(number))) +
                (0 until KEYS).map { PartValue.KeyValue(key(number, it)) }
        }
        val content = ShardContent(values.map { PartRecord(it, mark) })
        return ChainState.of(ChainManifest.EMPTY.copy(revision = Revision(1)), listOf(content))
    }

    private fun change(revision: Revision, number: Int) = ConfigurationChange(
        revision,
        WriteId(Incarnation(1), revision.value),
        OPERATOR,
        listOf(ConfigurationEdit.Put(PartValue.OrganisationValue(organisation(number)))),
    )

    private fun organisation(number: Int) = Organisation(
        OrganisationId("organisation-$number"),
        "Organisation $number",
        TokenRate(TOKENS_PER_SECOND, TOKENS_PER_SECOND * 2),
        venues = setOf("venue-$number-1", "venue-$number-2"),
    )

    private fun key(number: Int, index: Int) =
        ApiKey(KeyId("key-$number-$index"), OrganisationId("organisation-$number"), hashSecret(secret(number, index)))

    private fun secret(number: Int, index: Int) = "nsk_$number-$index"

    private companion object {
        const val KEYS = 2
        const val TOKENS_PER_SECOND = 5_000L
        const val ORGANISATIONS_TOGETHER = 48_000
        const val TRIALS = 5
        const val CHANGES = 20
        const val LOOKUPS = 20_000
        val OPERATOR = OperatorName("planner")
    }
}
