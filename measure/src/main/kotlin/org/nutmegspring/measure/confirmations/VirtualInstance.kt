package org.nutmegspring.measure.confirmations

import arrow.core.Either
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import org.nutmegspring.execution.RetryBudget
import org.nutmegspring.execution.RetryPolicy
import org.nutmegspring.failure.Failure
import org.nutmegspring.identity.IdempotencyKey
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.ModelId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.measure.virtual.VirtualProcess
import org.nutmegspring.measure.virtual.VirtualStore
import org.nutmegspring.node.engine.ServiceRequest
import org.nutmegspring.node.execution.ExecutionBounds
import org.nutmegspring.node.execution.ExecutionParts
import org.nutmegspring.node.execution.Generation
import org.nutmegspring.node.execution.GenerationEnd
import org.nutmegspring.node.execution.KeyedServiceExecution
import org.nutmegspring.node.execution.ResumingExecution
import org.nutmegspring.node.execution.ServiceAttempts
import org.nutmegspring.node.execution.ServiceOutcome
import org.nutmegspring.node.execution.TokenSink
import org.nutmegspring.node.routing.Work
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/** What the instances of a run share. */
internal class ExecutionFleetParts(
    val world: ExecutionWorld,
    val rules: ExecutionRules,
    val network: VirtualInnerNetwork,
    val services: VirtualServices,
    val engines: VirtualEngines,
    val bounds: ExecutionBounds,
)

/** One process of an instance, with the execution code of the product. */
internal class VirtualInstance(
    val id: InstanceId,
    private val parts: ExecutionFleetParts,
) {
    private val world = parts.world
    private val clockRate = world.random.nextDouble(LEAST_CLOCK_RATE, MOST_CLOCK_RATE)

    /** The process. */
    val process = VirtualProcess("$id", world.schedule, clockRate, world.between(1.seconds, 10_000.seconds))

    /** The store as the process reaches it. */
    val store = VirtualStore(world.schedule, process, world.objects, world.storeFaults) {
        if (world.chance(pauseBeforeStore)) process.pause(world.between(1.seconds, 60.seconds))
    }

    private val policy = RetryPolicy(RetryBudget(retryRatio = 1.0))
    private val chooser = VirtualChooser(world.random, parts.services.endpoints, parts.engines.endpoints)
    private val services = parts.rules.services(parts.services.callerOf(process, parts.rules.matches))
    private val keyed = KeyedServiceExecution(
        ExecutionParts(
            instance = id,
            incarnation = Incarnation(world.random.nextLong()),
            store = parts.rules.store(store),
            network = parts.rules.network(parts.network.port(id, process)),
            attempts = ServiceAttempts(chooser, services, process.clock, policy),
            clock = process.clock,
            scope = process.scope,
            ticketSecret = world.random.nextBytes(SECRET_BYTES),
        ),
        parts.bounds,
    )
    private val resuming = ResumingExecution(chooser, parts.engines, process.clock, policy)

    /** The probability that the process stops directly before it calls the store. */
    var pauseBeforeStore = 0.0

    /** How many writes of claims the process sent. */
    val storeWrites: Long get() = keyed.storeWriteCount

    /** Issues a ticket. */
    fun issueTicket(): IdempotencyKey = keyed.issueTicket(ORGANISATION).key

    /** Runs the work of [intent] and gives the outcome to [reply], unless the process ends first. */
    fun call(
        intent: Intent,
        request: RequestId,
        key: IdempotencyKey?,
        reply: (Either<Failure, ServiceOutcome>) -> Unit,
    ) {
        val work = Work.ServiceCall(ORGANISATION, SERVICE, parts.rules.repeatable(intent.repeatable))
        val body = intent.number.toString().encodeToByteArray()
        val call = ServiceRequest(request, "POST", "/confirm", emptyList(), body)
        process.after(delay()) {
            process.scope.launch {
                val outcome = keyed.run(work, call, key)
                world.schedule.after(delay()) { reply(outcome) }
            }
        }
    }

    /** Runs a generation and gives its tokens to [sink] and its end to [reply]. */
    fun generate(request: RequestId, sink: TokenSink, reply: (Either<Failure, GenerationEnd>) -> Unit) {
        val work = Work.Generation(ORGANISATION, ModelId("ledger"), 1, ANSWER_TOKENS, emptyList())
        val generation = Generation(request, work, "/v1/completions", EMPTY_BODY)
        process.scope.launch { reply(resuming.run(generation, sink)) }
    }

    private fun delay(): Duration = world.between(LEAST_DELAY, MOST_DELAY)

    private companion object {
        val ORGANISATION = OrganisationId("vestiaire")
        val SERVICE = ServiceId("dispatch")
        val EMPTY_BODY = JsonObject(emptyMap())
        val LEAST_DELAY = 500.microseconds
        val MOST_DELAY = 2_000.microseconds
        const val SECRET_BYTES = 32
        const val LEAST_CLOCK_RATE = 0.999
        const val MOST_CLOCK_RATE = 1.001
    }
}
