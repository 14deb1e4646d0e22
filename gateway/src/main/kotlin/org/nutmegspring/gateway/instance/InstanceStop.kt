package org.nutmegspring.gateway.instance

import kotlinx.coroutines.delay
import org.nutmegspring.gateway.forwarding.RunningRequests
import org.nutmegspring.gateway.http.HttpServer
import org.nutmegspring.gateway.observe.CallerLoad
import org.nutmegspring.gateway.observe.PlannedStopLog
import org.nutmegspring.gateway.observe.StopPhase
import org.nutmegspring.membership.PlannedStop
import org.nutmegspring.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A planned stop of an instance: lets requests end, and gives those that still run at the end their final answers.
 *
 * @param sendReports tells the other instances the phase of this one
 */
internal class InstanceStop(
    private val servers: List<HttpServer>,
    private val running: RunningRequests,
    private val stopLog: PlannedStopLog,
    private val clock: MonotonicClock,
    private val sendReports: () -> Unit,
) {
    /** Returns when the process can exit, before it is killed after [stopTime]. */
    suspend fun run(stopTime: Duration) {
        val stop = PlannedStop(clock.now(), stopTime)
        running.beginStop(stop)
        stopLog.begin()
        sendReports()
        while (stop.isServing(servers.any { it.isBusy }, clock.now())) delay(CHECK_INTERVAL)
        stopLog.enter(StopPhase.ENDING)
        running.endAll()
        servers.forEach {
            it.stopListening()
            it.refuseIncomplete()
        }
        while (servers.any { it.isBusy } && clock.now() < stop.exitAt) delay(CHECK_INTERVAL)
        servers.forEach { it.closeIdle() }
        val endBy = minOf(clock.now() + END_TIME, stop.exitAt)
        while (servers.any { it.connectionCount > 0 } && clock.now() < endBy) delay(CHECK_INTERVAL)
        sendReports()
        stopLog.enter(StopPhase.EXITING)
    }

    private companion object {
        val CHECK_INTERVAL = 50.milliseconds

        /** In which callers learn of the end of their connections. Those that do not close them are not waited for. */
        val END_TIME = 200.milliseconds
    }
}

/** Returns what these servers hold for their callers, of whose requests [running] are being forwarded. */
internal fun List<HttpServer>.readLoad(running: Int) = CallerLoad(
    running,
    connections = sumOf { it.connectionCount },
    receiving = sumOf { it.receivingCount },
    queued = sumOf { it.queuedCount },
    unwritten = sumOf { it.unwrittenCount },
)
