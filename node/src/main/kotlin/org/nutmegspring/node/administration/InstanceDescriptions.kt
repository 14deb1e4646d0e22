package org.nutmegspring.node.administration

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.node.membership.MemberState
import org.nutmegspring.node.membership.Membership

/** Describes all instances known to [membership] or listed by the platform, sorted by id. */
internal fun describeInstances(membership: Membership): List<InstanceDescription> {
    val listed = membership.listedInstances()
    val known = membership.peers() + membership.self
    val listedOnly = listed - known.map { it.id }.toSet()
    return (known.map { describe(it, it.id in listed) } + listedOnly.map(::describeListedOnly)).sortedBy { it.id }
}

private fun describe(member: MemberState, listed: Boolean) = InstanceDescription(
    id = member.id,
    dataCentre = member.dataCentre,
    callerAddress = member.callerAddress,
    phase = member.phase,
    revision = member.revision,
    listed = listed,
    evidenceAgeMilliseconds = member.evidenceAge.inWholeMilliseconds,
)

private fun describeListedOnly(id: InstanceId) = InstanceDescription(
    id = id,
    dataCentre = null,
    callerAddress = null,
    phase = null,
    revision = null,
    listed = true,
    evidenceAgeMilliseconds = null,
)
