package org.nutmegspring.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId

/** The state of an instance or endpoint as the platform lists it. */
@Serializable
public enum class ListedState {
    /** The instance or endpoint is running. */
    LIVE,

    /** The instance or endpoint is about to be stopped. */
    DEPARTING,
}

/** An entry in the platform's eventually consistent list of instances. Addresses are `host:port` with an IP address. */
@Serializable
public data class ListedInstance(
    public val id: InstanceId,
    public val dataCentre: DataCentreId,
    public val callerAddress: String,
    public val innerAddress: String,
    public val state: ListedState,
)

/** An entry in the platform's eventually consistent list of endpoints. */
@Serializable
public data class ListedEndpoint(
    public val endpoint: EndpointDescription,
    public val state: ListedState,
)

/** The platform's lists of instances and endpoints. Both lag behind the actual state by seconds. */
public interface PlatformLists {
    /** Returns the listed instances. */
    public suspend fun instances(): Either<StoreFailure, List<ListedInstance>>

    /** Returns the listed endpoints. */
    public suspend fun endpoints(): Either<StoreFailure, List<ListedEndpoint>>
}
