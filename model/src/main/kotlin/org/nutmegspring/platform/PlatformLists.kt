package org.nutmegspring.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId

/** The state of an instance or endpoint in a list of the platform. */
@Serializable
public enum class ListedState {
    /** It runs. */
    LIVE,

    /** It is about to be stopped. */
    DEPARTING,
}

/** An instance of the system as the platform's lagging list shows it. Addresses are `host:port` with an IP number. */
@Serializable
public data class ListedInstance(
    public val id: InstanceId,
    public val dataCentre: DataCentreId,
    public val callerAddress: String,
    public val innerAddress: String,
    public val state: ListedState,
)

/** An endpoint as the platform's lagging list shows it. */
@Serializable
public data class ListedEndpoint(
    public val endpoint: EndpointDescription,
    public val state: ListedState,
)

/** The platform's lists of instances and endpoints. Both lag behind what is the case by seconds. */
public interface PlatformLists {
    /** Returns the listed instances. */
    public suspend fun instances(): Either<StoreFailure, List<ListedInstance>>

    /** Returns the listed endpoints. */
    public suspend fun endpoints(): Either<StoreFailure, List<ListedEndpoint>>
}
