package org.nutmegspring.configuration

import org.nutmegspring.identity.Revision

/** The number of shards that hold the parts of the configuration. It cannot change during the lifetime of a chain. */
const val SHARD_COUNT: Int = 256

/** The number of recent changes that a manifest lists. */
const val MANIFEST_LOG_LENGTH: Int = 64

/** Returns the shard that holds [part]. */
fun shardOf(part: ConfigurationPart): Int = Math.floorMod(part.path.hashCode(), SHARD_COUNT)

/** The configuration at one revision, with the manifest and the records it is built from. */
class ChainState private constructor(
    val manifest: ChainManifest,
    val records: Map<ConfigurationPart, PartRecord>,
    val configuration: Configuration,
) {
    /** The revision of this state. */
    val revision: Revision get() = manifest.revision

    /** Returns the state after [change], which must produce the next revision. */
    fun apply(change: ConfigurationChange): ChainState {
        require(change.revision == revision.next()) { "change ${change.revision} does not follow $revision" }
        val changed = records.toMutableMap()
        val lastChange = LastChange(change.revision, change.operator)
        change.edits.forEach { edit ->
            when (edit) {
                is ConfigurationEdit.Put -> changed[edit.part] = PartRecord(edit.value, lastChange)
                is ConfigurationEdit.Remove -> changed.remove(edit.part)
            }
        }
        val edited = ConfigurationBuilder(configuration).edit(change.edits, records).build(change.revision)
        return ChainState(manifestAfter(change), changed, edited)
    }

    /** Returns the content of [shard]. */
    fun shardContent(shard: Int): ShardContent = ShardContent(
        records.filterKeys { shardOf(it) == shard }.values.sortedBy { it.value.part.path },
    )

    private fun manifestAfter(change: ConfigurationChange): ChainManifest {
        val reference = ShardReference(change.revision, change.writer)
        val touched = change.edits.map { shardOf(it.part) }.toSet()
        return ChainManifest(
            revision = change.revision,
            writer = change.writer,
            shards = (manifest.shards + touched.associateWith { reference }).toSortedMap(),
            log = (manifest.log + ChainLogEntry(change.revision, change.writer)).takeLast(MANIFEST_LOG_LENGTH),
        )
    }

    /** Holds the initial state and restores states from stored shards. */
    companion object {
        /** The empty state, from which every chain starts. */
        val EMPTY: ChainState = ChainState(ChainManifest.EMPTY, emptyMap(), Configuration.EMPTY)

        /** Restores the state that [manifest] describes from the contents of all its shards. */
        fun of(manifest: ChainManifest, contents: Collection<ShardContent>): ChainState {
            val records = contents.flatMap { it.records }.associateBy { it.value.part }
            val edits = records.values.map { ConfigurationEdit.Put(it.value) }
            val configuration = ConfigurationBuilder(Configuration.EMPTY).edit(edits, emptyMap())
            return ChainState(manifest, records, configuration.build(manifest.revision))
        }
    }
}

private class ConfigurationBuilder(start: Configuration) {
    private val organisations = start.organisations.toMutableMap()
    private val keys = start.keys.toMutableMap()
    private val services = start.services.toMutableMap()
    private val plans = start.plans.toMutableMap()
    private val endpoints = start.endpoints.toMutableMap()

    fun edit(edits: List<ConfigurationEdit>, records: Map<ConfigurationPart, PartRecord>) = apply {
        edits.forEach { edit ->
            records[edit.part]?.let { remove(it.value) }
            if (edit is ConfigurationEdit.Put) put(edit.value)
        }
    }

    fun build(revision: Revision) = Configuration(revision, organisations, keys, services, plans, endpoints)

    private fun put(value: PartValue) {
        when (value) {
            is PartValue.OrganisationValue -> organisations[value.organisation.id] = value.organisation
            is PartValue.KeyValue -> keys[value.key.hash] = value.key
            is PartValue.ServiceValue -> services[value.service.id] = value.service
            is PartValue.PlanValue -> plans[value.plan.dataCentre] = value.plan
            is PartValue.EndpointValue -> endpoints[value.endpoint.id] = value.endpoint
        }
    }

    private fun remove(value: PartValue) {
        when (value) {
            is PartValue.OrganisationValue -> organisations.remove(value.organisation.id)
            is PartValue.KeyValue -> keys.remove(value.key.hash)
            is PartValue.ServiceValue -> services.remove(value.service.id)
            is PartValue.PlanValue -> plans.remove(value.plan.dataCentre)
            is PartValue.EndpointValue -> endpoints.remove(value.endpoint.id)
        }
    }
}
