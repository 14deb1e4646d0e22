package org.nutmegspring.configuration

import kotlinx.serialization.Serializable
import org.nutmegspring.endpoint.FencingSupport
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.KeyHash
import org.nutmegspring.identity.KeyId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.Revision
import org.nutmegspring.identity.ServiceId

/** The rate limit of an organisation across the whole fleet: its sustained rate and its burst size. */
@Serializable
public data class TokenRate(
    public val tokensPerSecond: Long,
    public val burstTokens: Long,
)

/**
 * The settings of an organisation.
 *
 * @property weight its weight for sharing capacity when demand exceeds it
 * @property models the models it may use; an empty set allows all models
 * @property budgetPerDay spending limit in the platform's currency units, or null for none
 * @property venues its venues of the day
 * @property crew how many people of it work on the day
 */
@Serializable
public data class Organisation(
    public val id: OrganisationId,
    public val name: String,
    public val rate: TokenRate,
    public val weight: Int = 1,
    public val models: Set<ModelId> = emptySet(),
    public val budgetPerDay: Long? = null,
    public val venues: Set<String> = emptySet(),
    public val crew: Int = 0,
)

/** An API key of an organisation. Only its hash is stored. [expiresAtEpochSeconds] is null if the key never expires. */
@Serializable
public data class ApiKey(
    public val id: KeyId,
    public val organisation: OrganisationId,
    public val hash: KeyHash,
    public val expiresAtEpochSeconds: Long? = null,
)

/** Matches calls to a service by HTTP method and by the prefix of the path that follows the service's name. */
@Serializable
public data class CallPattern(
    public val method: String,
    public val pathPrefix: String,
)

/** A plain service. Calls that match [notRepeatable] run at most once. */
@Serializable
public data class Service(
    public val id: ServiceId,
    public val openToAll: Boolean = false,
    public val notRepeatable: List<CallPattern> = emptyList(),
    public val tokensPerCall: Long = 1,
)

/** The bounds on the number of endpoints of each kind in a data centre during a season. */
@Serializable
public data class DataCentrePlan(
    public val dataCentre: DataCentreId,
    public val season: String,
    public val standardEngines: IntBounds,
    public val reclaimableEngines: IntBounds = IntBounds(0, 0),
    public val services: Map<ServiceId, IntBounds> = emptyMap(),
    public val budgetPerDay: Long? = null,
)

/** Inclusive lower and upper bounds of a count. */
@Serializable
public data class IntBounds(
    public val least: Int,
    public val most: Int,
)

/** The operator-supplied setting of an endpoint. */
@Serializable
public data class EndpointSetting(
    public val id: EndpointId,
    public val fencing: FencingSupport,
)

/** The whole configuration at one [revision]. */
@Serializable
public data class Configuration(
    public val revision: Revision,
    public val organisations: Map<OrganisationId, Organisation> = emptyMap(),
    public val keys: Map<KeyHash, ApiKey> = emptyMap(),
    public val services: Map<ServiceId, Service> = emptyMap(),
    public val plans: Map<DataCentreId, DataCentrePlan> = emptyMap(),
    public val endpoints: Map<EndpointId, EndpointSetting> = emptyMap(),
) {
    /** Holds the initial configuration. */
    public companion object {
        /** The empty configuration, from which every chain starts. */
        public val EMPTY: Configuration = Configuration(Revision.NONE)
    }
}
