package org.nutmegspring.node.membership

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.InstanceId

/** The phase of an instance's life. */
typealias InstancePhase = org.nutmegspring.membership.InstancePhase

/** What this instance knows of another, or of itself. */
typealias MemberState = org.nutmegspring.membership.MemberState

/** The instances that this instance knows. */
interface Membership {
    /** This instance. */
    val self: MemberState

    /** The other instances that are believed to run, in the order of their ids. */
    fun peers(): List<MemberState>

    /** The ids that the platform last listed, this instance's included. */
    fun listed(): Set<InstanceId>

    /** Whether the platform's list, as last read, names this instance. */
    val selfListed: Boolean

    /** The endpoints that this or another instance has found to be departing. */
    fun departingEndpoints(): Set<EndpointId> = emptySet()

    /** Tells the other instances that [endpoint] is departing. */
    fun reportDeparting(endpoint: EndpointId) = Unit
}
