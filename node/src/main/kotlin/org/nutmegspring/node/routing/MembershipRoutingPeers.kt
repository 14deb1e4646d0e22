package org.nutmegspring.node.routing

import org.nutmegspring.identity.EndpointId
import org.nutmegspring.node.membership.Membership

/** Implements [RoutingPeers] on top of [membership]. */
class MembershipRoutingPeers(private val membership: Membership) : RoutingPeers {
    override fun countSenders(): Int = membership.peers().size + 1

    override fun departingEndpoints(): Set<EndpointId> = membership.departingEndpoints()

    override fun reportDeparting(endpoint: EndpointId) = membership.reportDeparting(endpoint)
}
