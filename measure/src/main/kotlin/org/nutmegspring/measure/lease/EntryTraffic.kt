package org.nutmegspring.measure.lease

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.nutmegspring.endpoint.EndpointDescription
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.node.control.QuietCoordinator
import org.nutmegspring.order.QuietPromises
import org.nutmegspring.order.promiseValidUntil
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The requests that one instance sends to engines. */
internal class EntryTraffic(
    private val instance: ControlInstance,
    private val fleet: ControlFleet,
) {
    private val world = fleet.world
    private val inFlight = HashMap<EndpointId, Int>()
    private var promises = QuietPromises()

    /** Starts sending requests once promises that this instance can't know of have ended. */
    fun start() {
        instance.process.scope.launch {
            delay(QUIET_SPAN * 2)
            while (true) {
                delay(world.milliseconds(1, MOST_REST_MILLISECONDS))
                send(fleet.engines.random(world.random))
            }
        }
    }

    /** Promises to send nothing to [engine] and returns whether nothing is under way. */
    fun promise(engine: EndpointId): Boolean {
        promises = promises.withPromise(engine, instance.process.clock.now(), QUIET_SPAN)
        return (inFlight[engine] ?: 0) == 0
    }

    private fun send(engine: VirtualEngine) {
        val id = engine.description.id
        if (promises.isQuiet(id, instance.process.clock.now())) return
        inFlight.merge(id, 1, Int::plus)
        world.schedule.after(world.milliseconds(1, MOST_WAY_MILLISECONDS)) {
            val span = world.milliseconds(MOST_WAY_MILLISECONDS, MOST_RUN_MILLISECONDS)
            if (!engine.start(span) { finished(id) }) finished(id)
        }
    }

    private fun finished(engine: EndpointId) {
        instance.process.after(world.milliseconds(1, MOST_WAY_MILLISECONDS)) { inFlight.merge(engine, -1, Int::plus) }
    }

    companion object {
        /** How long an instance keeps a promise. It outlasts the limit of a connection. */
        val QUIET_SPAN = 6.seconds
        private const val MOST_REST_MILLISECONDS = 1_500L
        private const val MOST_WAY_MILLISECONDS = 40L
        private const val MOST_RUN_MILLISECONDS = 900L
    }
}

/** Asks every instance of the fleet to send nothing to an engine. With [asks] false it claims that all agreed. */
internal class FleetQuiet(
    private val instance: ControlInstance,
    private val fleet: ControlFleet,
    private val asks: Boolean,
) : QuietCoordinator {
    override suspend fun requestQuiet(engine: EndpointDescription): MonotonicTime? {
        val askedAt = instance.process.clock.now()
        if (!asks) return askedAt + EntryTraffic.QUIET_SPAN
        val confirmed = fleet.listed().all { ask(it, engine.id) }
        return if (confirmed) ControlRules.TIMING.promiseValidUntil(askedAt, EntryTraffic.QUIET_SPAN) else null
    }

    private suspend fun ask(other: ControlInstance, engine: EndpointId): Boolean = instance.process.call { resume ->
        instance.process.after(TIMEOUT) { resume(false) }
        fleet.peerDelay(instance.id, other.id)?.let { there ->
            fleet.world.schedule.after(there) { answer(other, engine, resume) }
        }
    }

    private fun answer(other: ControlInstance, engine: EndpointId, resume: (Boolean) -> Unit) {
        other.process.after(Duration.ZERO) {
            val idle = other.traffic.promise(engine)
            fleet.peerDelay(other.id, instance.id)?.let { back -> fleet.world.schedule.after(back) { resume(idle) } }
        }
    }

    private companion object {
        val TIMEOUT = 1.seconds
    }
}
