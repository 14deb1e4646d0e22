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

/** A kind of part that operators list, show and change under the path [path]. */
internal sealed class PartKind(val path: String) {
    /** Returns the part of this kind called [id]. */
    abstract fun part(id: String): ConfigurationPart

    /** Returns whether [value] is of this kind. */
    abstract fun includes(value: PartValue): Boolean

    /** Reads a value of this kind. */
    abstract fun decode(text: String): PartValue

    /** Organisations. */
    data object Organisations : PartKind("organisations") {
        override fun part(id: String) = ConfigurationPart.OrganisationPart(OrganisationId(id))

        override fun includes(value: PartValue) = value is PartValue.OrganisationValue

        override fun decode(text: String) =
            PartValue.OrganisationValue(administrationJson.decodeFromString(Organisation.serializer(), text))
    }

    /** Plain services. */
    data object Services : PartKind("services") {
        override fun part(id: String) = ConfigurationPart.ServicePart(ServiceId(id))

        override fun includes(value: PartValue) = value is PartValue.ServiceValue

        override fun decode(text: String) =
            PartValue.ServiceValue(administrationJson.decodeFromString(Service.serializer(), text))
    }

    /** Plans of data centres. */
    data object Plans : PartKind("plans") {
        override fun part(id: String) = ConfigurationPart.PlanPart(DataCentreId(id))

        override fun includes(value: PartValue) = value is PartValue.PlanValue

        override fun decode(text: String) =
            PartValue.PlanValue(administrationJson.decodeFromString(DataCentrePlan.serializer(), text))
    }

    /** Settings of endpoints. */
    data object Endpoints : PartKind("endpoints") {
        override fun part(id: String) = ConfigurationPart.EndpointPart(EndpointId(id))

        override fun includes(value: PartValue) = value is PartValue.EndpointValue

        override fun decode(text: String) =
            PartValue.EndpointValue(administrationJson.decodeFromString(EndpointSetting.serializer(), text))
    }

    companion object {
        /** The kinds that operators put as a whole. Keys are granted and revoked instead. */
        val all: List<PartKind> = listOf(Organisations, Services, Plans, Endpoints)
    }
}

/** Returns the part for a key called [id]. */
internal fun keyPart(id: String): ConfigurationPart = ConfigurationPart.KeyPart(KeyId(id))

/** Returns what operators see of [key]. */
internal fun describe(key: ApiKey): KeyDescription =
    KeyDescription(key.id, key.organisation, key.expiresAtEpochSeconds)

/** Returns what operators see of [record]. */
internal fun answerOf(record: PartRecord): PartAnswer =
    PartAnswer(jsonOf(record.value), record.lastChange.revision, record.lastChange.operator)

private fun jsonOf(value: PartValue): JsonElement = with(administrationJson) {
    when (value) {
        is PartValue.OrganisationValue -> encodeToJsonElement(Organisation.serializer(), value.organisation)
        is PartValue.KeyValue -> encodeToJsonElement(KeyDescription.serializer(), describe(value.key))
        is PartValue.ServiceValue -> encodeToJsonElement(Service.serializer(), value.service)
        is PartValue.PlanValue -> encodeToJsonElement(DataCentrePlan.serializer(), value.plan)
        is PartValue.EndpointValue -> encodeToJsonElement(EndpointSetting.serializer(), value.endpoint)
    }
}
