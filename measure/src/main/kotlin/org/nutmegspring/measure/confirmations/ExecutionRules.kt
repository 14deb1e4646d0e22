package org.nutmegspring.measure.confirmations

import arrow.core.Either
import arrow.core.right
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.execution.isOwnAnswer
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.invariant.Invariant
import org.nutmegspring.measure.fault.Defect
import org.nutmegspring.node.engine.ServiceAnswer
import org.nutmegspring.node.engine.ServiceCaller
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.protocol.ClaimQuery
import org.nutmegspring.protocol.ClaimQueryReply
import org.nutmegspring.protocol.ClaimStatus
import org.nutmegspring.protocol.InnerNetwork
import org.nutmegspring.protocol.InnerReply
import org.nutmegspring.protocol.InnerRequest
import kotlin.time.Duration

/** The parts of a run that a defect replaces. */
internal class ExecutionRules(
    val repeatable: (Boolean) -> Boolean = { it },
    val matches: (RequestId, String?) -> Boolean = ::isOwnAnswer,
    val positionOf: (position: Long, alreadySent: Long, first: Long) -> Long = { position, _, _ -> position },
    val store: (ObjectStore) -> ObjectStore = { it },
    val network: (InnerNetwork) -> InnerNetwork = { it },
    val services: (ServiceCaller) -> ServiceCaller = { it },
)

/** The defects that the invariants must reveal. */
internal enum class ExecutionDefect(
    val defect: Defect,
    val rules: () -> ExecutionRules,
) {
    /** Sends work again that may have run. */
    RETRIES_ANYTHING(
        Defect("retries work that is not repeatable", setOf(Invariant.AT_MOST_ONCE)),
        { ExecutionRules(repeatable = { true }) },
    ),

    /** Takes a claim that the store did not confirm for its own. */
    UNCONFIRMED_CLAIM(
        Defect("sends without a confirmed claim", setOf(Invariant.AT_MOST_ONCE, Invariant.TRUE_NOT_RUN)),
        { ExecutionRules(store = ::ConfirmingStore) },
    ),

    /** Takes over the claim of an instance that does not answer. */
    SILENT_CLAIMANT(
        Defect("takes over the claim of a silent instance", setOf(Invariant.AT_MOST_ONCE)),
        { ExecutionRules(network = ::AbandoningNetwork) },
    ),

    /** Says that a call did not run after its connection was reset. */
    RESET_NOT_RUN(
        Defect("says not run after a reset", setOf(Invariant.TRUE_NOT_RUN, Invariant.AT_MOST_ONCE)),
        { ExecutionRules(services = ::ForgetfulCaller) },
    ),

    /** Goes on at another engine without regard to where the answer stood. */
    RESUME_WITHOUT_POSITION(
        Defect("resumes without a position", setOf(Invariant.WHOLE_ANSWER)),
        { ExecutionRules(positionOf = { position, alreadySent, first -> alreadySent + 1 + position - first }) },
    ),

    /** Takes the next answer on a connection for its own. */
    MATCH_BY_ORDER(
        Defect("matches answers by order", setOf(Invariant.OWN_ANSWER, Invariant.WHOLE_ANSWER)),
        { ExecutionRules(matches = { _, _ -> true }) },
    ),
}

private class ConfirmingStore(private val store: ObjectStore) : ObjectStore by store {
    override suspend fun write(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<StoreFailure, ObjectVersion> {
        val result = store.write(key, value, condition)
        val unanswered = result.leftOrNull() is StoreFailure.Unanswered
        return if (unanswered) ObjectVersion(0).right() else result
    }
}

private class AbandoningNetwork(private val network: InnerNetwork) : InnerNetwork by network {
    override suspend fun exchange(
        to: InstanceId,
        request: InnerRequest,
        timeout: Duration,
    ): Either<Failure, InnerReply> {
        val result = network.exchange(to, request, timeout)
        val silent = request is ClaimQuery && result.isLeft()
        return if (silent) ClaimQueryReply(ClaimStatus.ABANDONED).right() else result
    }
}

private class ForgetfulCaller(private val services: ServiceCaller) : ServiceCaller {
    override suspend fun call(
        endpoint: EndpointDescription,
        request: ServiceRequest,
    ): Either<Failure, ServiceAnswer> =
        services.call(endpoint, request).mapLeft { it.copy(effect = Effect.NOT_RUN) }
}
