package org.nutmegspring.node.routing

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.node.membership.Membership

/** Tells the chooser of the other instances by [membership]. */
class MembershipRoutingPeers(private val membership: Membership) : RoutingPeers {
    override fun senders(): Int = membership.peers().size + 1

    override fun departing(): Set<EndpointId> = membership.departingEndpoints()

    override fun reportDeparting(endpoint: EndpointId) = membership.reportDeparting(endpoint)
}
