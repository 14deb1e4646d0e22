package org.nutmegspring.measure.limits

import org.nutmegspring.measure.fault.Fault
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Injects random faults into [world], several at a time. */
internal class LimitFaults(private val world: LimitWorld, private val random: Random) {
    /** How often each fault was injected. */
    val counts = HashMap<Fault, Long>()

    /** Injects faults from now on. */
    fun start() {
        injectNext()
        pauseSomeAsking()
    }

    private fun injectNext() {
        world.schedule.after(upTo(MOST_SECONDS_BETWEEN)) {
            inject(FAULTS.random(random))
            injectNext()
        }
    }

    private fun inject(fault: Fault) {
        counts.merge(fault, 1, Long::plus)
        val index = random.nextInt(world.processes.size)
        when (fault) {
            Fault.STORE_DOWN -> {
                during(MOST_SECONDS_STORE_DOWN, { world.store.down = true }) { world.store.down = false }
            }

            Fault.STORE_SLOW -> {
                during(MOST_SECONDS, { world.store.slow = true }) { world.store.slow = false }
            }

            Fault.REPLY_LOST -> {
                during(MOST_SECONDS, { world.store.replyLoss = LOSS }) { world.store.replyLoss = 0.0 }
            }

            Fault.PAUSE -> {
                pause(world.processes[index])
            }

            Fault.KILL -> {
                if (random.nextBoolean()) kill(index) else stop(index)
            }

            Fault.INSTANCE_CUT_OFF -> {
                during(MOST_SECONDS, { world.network.cutOff += index }) { world.network.cutOff -= index }
            }

            Fault.DATA_CENTRES_APART -> {
                during(MOST_SECONDS, { world.network.oneSide += setOf(0, index) }) { world.network.oneSide.clear() }
            }

            Fault.LIST_STALE -> {
                during(MOST_SECONDS, { world.listing.lag = staleLag }) { world.listing.lag = SimulatedListing.usualLag }
            }

            Fault.MESSAGE_DISORDER -> {
                during(MOST_SECONDS, { world.network.disorder = LOSS }) { world.network.disorder = 0.0 }
            }

            else -> {
                error("fault $fault is not injected here")
            }
        }
    }

    private fun during(seconds: Double, begin: () -> Unit, end: () -> Unit) {
        begin()
        world.schedule.after(upTo(seconds), end)
    }

    private fun pause(process: SimulatedProcess) = during(MOST_SECONDS, process::pause, process::resume)

    private fun pauseSomeAsking() {
        world.schedule.after(upTo(MOST_SECONDS_BETWEEN)) {
            counts.merge(Fault.PAUSE, 1, Long::plus)
            world.processes.random(random).pauseWhenAsking(world.limits.keys.random(random), upTo(MOST_SECONDS_ASKING))
            pauseSomeAsking()
        }
    }

    private fun kill(index: Int) {
        val process = world.processes[index]
        if (!process.alive) return
        process.kill()
        val sameId = random.nextBoolean()
        if (!sameId) world.schedule.after(upTo(MOST_SECONDS)) { world.listing.remove(process.instance) }
        world.schedule.after(upTo(MOST_SECONDS)) { world.restart(index, sameId) }
    }

    private fun stop(index: Int) {
        val process = world.processes[index]
        if (!process.alive || process.stopping) return
        process.stop()
        world.schedule.after(upTo(MOST_SECONDS)) { if (process.alive) kill(index) }
    }

    private fun upTo(seconds: Double): Duration = random.nextDouble(seconds).seconds

    companion object {
        /** The faults that are injected. */
        val FAULTS = listOf(
            Fault.STORE_DOWN,
            Fault.STORE_SLOW,
            Fault.REPLY_LOST,
            Fault.PAUSE,
            Fault.KILL,
            Fault.INSTANCE_CUT_OFF,
            Fault.DATA_CENTRES_APART,
            Fault.LIST_STALE,
            Fault.MESSAGE_DISORDER,
        )

        private val staleLag = 2.5.seconds
        private const val MOST_SECONDS_BETWEEN = 12.0
        private const val MOST_SECONDS = 5.0
        private const val MOST_SECONDS_ASKING = 8.0
        private const val MOST_SECONDS_STORE_DOWN = 60.0
        private const val LOSS = 0.2
    }
}
