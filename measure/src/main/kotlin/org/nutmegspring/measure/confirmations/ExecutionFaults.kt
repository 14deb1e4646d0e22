package org.nutmegspring.measure.confirmations

import org.nutmegspring.identity.InstanceId
import org.nutmegspring.measure.fault.Fault
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The ways in which a run is disturbed. */
internal enum class Disturbance(val label: String) {
    /** The store answers nothing for a while. */
    STORE_DOWN("store-down"),

    /** The store answers late for a while. */
    STORE_SLOW("store-slow"),

    /** Some replies of the store are lost after their change took effect. */
    STORE_REPLY_LOST("store-reply-lost"),

    /** Some calls of the store take effect late. */
    STORE_CALL_LATE("store-call-late"),

    /** Messages between instances are late, repeated or lost. */
    INNER_DISORDER("inner-disorder"),

    /** An instance does not reach the others. */
    INSTANCE_CUT_OFF("instance-cut-off"),

    /** An instance stops for a while. */
    INSTANCE_PAUSED("instance-paused"),

    /** An instance ends at once. */
    INSTANCE_KILLED("instance-killed"),

    /** Instances stop directly before they call the store. */
    PAUSED_AT_STORE("paused-at-store"),

    /** Endpoints refuse, crash, reset after running, answer late or with another answer. */
    ENDPOINTS("endpoint-faults"),
}

/** Injects disturbances at random times, several at once. */
internal class ExecutionFaults(
    private val world: ExecutionWorld,
    private val network: VirtualInnerNetwork,
    private val services: VirtualServices,
    private val engines: VirtualEngines,
    private val instances: MutableList<VirtualInstance>,
    private val replace: (InstanceId) -> VirtualInstance,
    private val gaps: ClosedRange<Duration>,
) {
    /** How many writes of claims were sent by processes that have ended. */
    var storeWritesOfEnded = 0L
        private set

    /** Starts to inject the [kinds] of disturbance. */
    fun start(kinds: List<Disturbance>) {
        if (kinds.isEmpty()) return
        world.schedule.after(world.between(gaps.start, gaps.endInclusive)) {
            inject(kinds.random(world.random))
            start(kinds)
        }
    }

    private fun inject(kind: Disturbance) {
        val span = world.between(LEAST_SPAN, MOST_SPAN)
        val instance = instances.random(world.random)
        when (kind) {
            Disturbance.STORE_DOWN -> {
                during(span, Fault.STORE_DOWN) { world.storeFaults.unreachable = it }
            }

            Disturbance.STORE_SLOW -> {
                during(span, Fault.STORE_SLOW) { world.storeFaults.slow = it }
            }

            Disturbance.STORE_REPLY_LOST -> {
                during(span, Fault.REPLY_LOST) { world.storeFaults.replyLoss = probability(it, LOSS) }
            }

            Disturbance.STORE_CALL_LATE -> {
                during(span, Fault.MESSAGE_DISORDER) { world.storeFaults.lateness = probability(it, LOSS) }
            }

            Disturbance.INNER_DISORDER -> {
                during(span, Fault.MESSAGE_DISORDER) { network.disorder = probability(it, LOSS) }
            }

            Disturbance.INSTANCE_CUT_OFF -> {
                during(span, Fault.INSTANCE_CUT_OFF) { network.cutOff(instance.id, it) }
            }

            Disturbance.INSTANCE_PAUSED -> {
                pause(instance)
            }

            Disturbance.INSTANCE_KILLED -> {
                kill(instance)
            }

            Disturbance.PAUSED_AT_STORE -> {
                during(span, Fault.PAUSE) { instance.pauseBeforeStore = probability(it, LOSS) }
            }

            Disturbance.ENDPOINTS -> {
                during(span, Fault.ENDPOINT_CRASH) { endpoints(it) }
            }
        }
    }

    private fun during(span: Duration, fault: Fault, set: (Boolean) -> Unit) {
        world.inject(fault, "for $span")
        set(true)
        world.schedule.after(span) { set(false) }
    }

    private fun probability(active: Boolean, value: Double) = if (active) value else 0.0

    private fun endpoints(active: Boolean) {
        val faults = services.faults
        faults.refused = probability(active, world.random.nextDouble(ENDPOINT_FAILURE))
        faults.crashBefore = probability(active, world.random.nextDouble(ENDPOINT_FAILURE))
        faults.resetAfter = probability(active, world.random.nextDouble(ENDPOINT_FAILURE))
        faults.crossed = probability(active, world.random.nextDouble(ENDPOINT_FAILURE))
        faults.late = probability(active, world.random.nextDouble(ENDPOINT_FAILURE))
        faults.pauseBeforeSend = probability(active, world.random.nextDouble(PAUSE_AT_SEND))
        engines.failure = probability(active, world.random.nextDouble(ENGINE_FAILURE))
    }

    private fun pause(instance: VirtualInstance) {
        world.inject(Fault.PAUSE, "${instance.id}")
        instance.process.pause(world.between(1.seconds, 120.seconds))
    }

    private fun kill(instance: VirtualInstance) {
        world.inject(Fault.KILL, "${instance.id}")
        instance.process.kill()
        storeWritesOfEnded += instance.storeWrites
        world.schedule.after(world.between(100.milliseconds, 10.seconds)) {
            val index = instances.indexOf(instance)
            if (index >= 0) instances[index] = replace(instance.id)
        }
    }

    private companion object {
        const val LOSS = 0.3
        const val ENDPOINT_FAILURE = 0.3
        const val ENGINE_FAILURE = 0.2
        const val PAUSE_AT_SEND = 0.1
        val LEAST_SPAN = 500.milliseconds
        val MOST_SPAN = 20.seconds
    }
}
