package org.nutmegspring.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.KeyId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.Revision
import org.nutmegspring.identity.ServiceId

/** Identifies a part of the configuration, the unit of change. */
@Serializable
public sealed interface ConfigurationPart {
    /** The kind and the id of the part, for example `organisation/brest`. */
    public val path: String

    /** An organisation. */
    @Serializable
    @SerialName("organisation")
    public data class OrganisationPart(public val id: OrganisationId) : ConfigurationPart {
        override val path: String get() = "organisation/$id"
    }

    /** An API key. */
    @Serializable
    @SerialName("key")
    public data class KeyPart(public val id: KeyId) : ConfigurationPart {
        override val path: String get() = "key/$id"
    }

    /** A plain service. */
    @Serializable
    @SerialName("service")
    public data class ServicePart(public val id: ServiceId) : ConfigurationPart {
        override val path: String get() = "service/$id"
    }

    /** The plan of a data centre. */
    @Serializable
    @SerialName("plan")
    public data class PlanPart(public val dataCentre: DataCentreId) : ConfigurationPart {
        override val path: String get() = "plan/$dataCentre"
    }

    /** The setting of an endpoint. */
    @Serializable
    @SerialName("endpoint")
    public data class EndpointPart(public val id: EndpointId) : ConfigurationPart {
        override val path: String get() = "endpoint/$id"
    }
}

/** The value of a [ConfigurationPart]. */
@Serializable
public sealed interface PartValue {
    /** The part that this value belongs to. */
    public val part: ConfigurationPart

    /** An organisation. */
    @Serializable
    @SerialName("organisation")
    public data class OrganisationValue(public val organisation: Organisation) : PartValue {
        override val part: ConfigurationPart get() = ConfigurationPart.OrganisationPart(organisation.id)
    }

    /** An API key. */
    @Serializable
    @SerialName("key")
    public data class KeyValue(public val key: ApiKey) : PartValue {
        override val part: ConfigurationPart get() = ConfigurationPart.KeyPart(key.id)
    }

    /** A plain service. */
    @Serializable
    @SerialName("service")
    public data class ServiceValue(public val service: Service) : PartValue {
        override val part: ConfigurationPart get() = ConfigurationPart.ServicePart(service.id)
    }

    /** The plan of a data centre. */
    @Serializable
    @SerialName("plan")
    public data class PlanValue(public val plan: DataCentrePlan) : PartValue {
        override val part: ConfigurationPart get() = ConfigurationPart.PlanPart(plan.dataCentre)
    }

    /** The setting of an endpoint. */
    @Serializable
    @SerialName("endpoint")
    public data class EndpointValue(public val endpoint: EndpointSetting) : PartValue {
        override val part: ConfigurationPart get() = ConfigurationPart.EndpointPart(endpoint.id)
    }
}

/** The revision that last changed a part, and the operator who made the change. */
@Serializable
public data class LastChange(
    public val revision: Revision,
    public val operator: OperatorName,
)

/** The value of a part and its last change. The serial name `mark` is kept for compatibility with stored data. */
@Serializable
public data class PartRecord(
    public val value: PartValue,
    @SerialName("mark") public val lastChange: LastChange,
)

/** The name of an operator, as shown in records and in the audit log. */
@Serializable
@JvmInline
public value class OperatorName(public val value: String) {
    override fun toString(): String = value
}
