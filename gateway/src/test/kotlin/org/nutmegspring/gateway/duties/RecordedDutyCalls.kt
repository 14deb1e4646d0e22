package org.nutmegspring.gateway.duties

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.failure.Effect
import org.nutmegspring.failure.Failure
import org.nutmegspring.failure.Peer
import org.nutmegspring.failure.Step
import org.nutmegspring.gateway.endpoints.ServingEndpoint
import org.nutmegspring.gateway.store.DutyCalls
import org.nutmegspring.gateway.store.DutyHolder
import org.nutmegspring.gateway.store.EndpointOrder
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.lease.HeldLease
import org.nutmegspring.platform.StoreFailure
import org.nutmegspring.time.MonotonicClock
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.time.agesWithoutSuspension
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Records the calls made for the duties. */
internal class RecordedDutyCalls : DutyCalls {
    val reports = mutableListOf<Pair<Long, Map<OrganisationId, Long>>>()
    val roles = mutableListOf<Pair<EndpointId, EngineRole>>()
    val endpoints = mutableListOf<EndpointOrder>()

    /** Whether calls get an answer; they are recorded either way. */
    var isAnswering = true

    override suspend fun reportUsage(
        window: Long,
        counts: Map<OrganisationId, Long>,
        holder: DutyHolder,
        timeout: Duration,
    ): Either<StoreFailure, Unit> = answer { reports += window to counts }

    override suspend fun orderRole(
        engine: ServingEndpoint,
        role: EngineRole,
        holder: DutyHolder,
        timeout: Duration,
    ): Either<StoreFailure, Unit> = answer { roles += engine.id to role }

    override suspend fun orderEndpoints(
        order: EndpointOrder,
        holder: DutyHolder,
        timeout: Duration,
    ): Either<StoreFailure, Unit> = answer { endpoints += order }

    private fun answer(record: () -> Unit): Either<StoreFailure, Unit> {
        record()
        val lost = Failure(Step.REPORT_USAGE, Peer.PLATFORM, Effect.UNKNOWN, "no answer")
        return if (isAnswering) Unit.right() else StoreFailure.Unanswered(lost).left()
    }
}

/** Creates a caller on virtual time that holds the duties while [isHeld] returns true. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.dutyCaller(calls: DutyCalls, isHeld: () -> Boolean = { true }): DutyCaller {
    val clock = MonotonicClock { MonotonicTime.ZERO + testScheduler.currentTime.milliseconds }
    val lease = { HeldLease(FencingToken(1), clock.now(), 3.seconds).takeIf { isHeld() } }
    return DutyCaller(InstanceId("a"), lease, calls, clock, clock.agesWithoutSuspension()) { }
}
