package org.nutmegspring.node.membership

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId

/** The lifecycle phase of an instance. */
typealias InstancePhase = org.nutmegspring.membership.InstancePhase

/** The state of an instance as this instance knows it. */
typealias MemberState = org.nutmegspring.membership.MemberState

/** The members of the fleet as this instance knows them. */
interface Membership {
    /** The state of this instance. */
    val self: MemberState

    /** Returns the other instances considered alive, sorted by id. */
    fun peers(): List<MemberState>

    /** Returns the ids in the platform's list as last read, and always that of this instance. */
    fun listedInstances(): Set<InstanceId>

    /** Whether the platform's list, as last read, contains this instance. */
    val isSelfListed: Boolean

    /** Returns the endpoints that this or another instance has found to be departing. */
    fun departingEndpoints(): Set<EndpointId> = emptySet()

    /** Reports to the other instances that [endpoint] is departing. */
    fun reportDeparting(endpoint: EndpointId) = Unit
}
