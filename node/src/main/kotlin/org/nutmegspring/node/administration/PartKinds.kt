package org.nutmegspring.node.administration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.nutmegspring.configuration.ApiKey
import org.nutmegspring.configuration.ConfigurationPart
import org.nutmegspring.configuration.DataCentrePlan
import org.nutmegspring.configuration.EndpointSetting
import org.nutmegspring.configuration.Organisation
import org.nutmegspring.configuration.PartRecord
import org.nutmegspring.configuration.PartValue
import org.nutmegspring.configuration.Service
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.KeyId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.ServiceId

/** The JSON format of the administration API. */
internal val administrationJson: Json = Json {
    encodeDefaults = true
    explicitNulls = false
}

/** A kind of configuration part that operators read and change under [path]. */
internal sealed class PartKind(val path: String) {
    /** Returns the part of this kind with this [id]. */
    abstract fun partWithId(id: String): ConfigurationPart

    /** Whether [value] is of this kind. */
    abstract fun includes(value: PartValue): Boolean

    /** Decodes a value of this kind from JSON. */
    abstract fun decode(text: String): PartValue

    /** Organisations. */
    data object Organisations : PartKind("organisations") {
        override fun partWithId(id: String) = ConfigurationPart.OrganisationPart(OrganisationId(id))

        override fun includes(value: PartValue) = value is PartValue.OrganisationValue

        override fun decode(text: String) =
            PartValue.OrganisationValue(administrationJson.decodeFromString(Organisation.serializer(), text))
    }

    /** Plain services. */
    data object Services : PartKind("services") {
        override fun partWithId(id: String) = ConfigurationPart.ServicePart(ServiceId(id))

        override fun includes(value: PartValue) = value is PartValue.ServiceValue

        override fun decode(text: String) =
            PartValue.ServiceValue(administrationJson.decodeFromString(Service.serializer(), text))
    }

    /** Data centre plans. */
    data object Plans : PartKind("plans") {
        override fun partWithId(id: String) = ConfigurationPart.PlanPart(DataCentreId(id))

        override fun includes(value: PartValue) = value is PartValue.PlanValue

        override fun decode(text: String) =
            PartValue.PlanValue(administrationJson.decodeFromString(DataCentrePlan.serializer(), text))
    }

    /** Endpoint settings. */
    data object Endpoints : PartKind("endpoints") {
        override fun partWithId(id: String) = ConfigurationPart.EndpointPart(EndpointId(id))

        override fun includes(value: PartValue) = value is PartValue.EndpointValue

        override fun decode(text: String) =
            PartValue.EndpointValue(administrationJson.decodeFromString(EndpointSetting.serializer(), text))
    }

    companion object {
        /** The kinds that operators create and replace. Keys are excluded: they are granted and revoked. */
        val all: List<PartKind> = listOf(Organisations, Services, Plans, Endpoints)
    }
}

/** Returns the part of the key with this [id]. */
internal fun keyPartWithId(id: String): ConfigurationPart = ConfigurationPart.KeyPart(KeyId(id))

/** Returns the fields of [key] that operators may see. */
internal fun describe(key: ApiKey): KeyDescription =
    KeyDescription(key.id, key.organisation, key.expiresAtEpochSeconds)

/** Converts [record] to an answer. The hash of a key is left out. */
internal fun createPartAnswer(record: PartRecord): PartAnswer =
    PartAnswer(encodeValue(record.value), record.lastChange.revision, record.lastChange.operator)

private fun encodeValue(value: PartValue): JsonElement = with(administrationJson) {
    when (value) {
        is PartValue.OrganisationValue -> encodeToJsonElement(Organisation.serializer(), value.organisation)
        is PartValue.KeyValue -> encodeToJsonElement(KeyDescription.serializer(), describe(value.key))
        is PartValue.ServiceValue -> encodeToJsonElement(Service.serializer(), value.service)
        is PartValue.PlanValue -> encodeToJsonElement(DataCentrePlan.serializer(), value.plan)
        is PartValue.EndpointValue -> encodeToJsonElement(EndpointSetting.serializer(), value.endpoint)
    }
}
