package org.nutmegspring.commandline

import sun.misc.Signal
import sun.misc.SignalHandler
import java.util.concurrent.LinkedBlockingDeque
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** What a signal asks of the process. */
enum class SignalRequest {
    /** To end; SIGTERM and SIGINT. */
    STOP,

    /** To read the settings again; SIGHUP. */
    RELOAD,
}

/**
 * Keeps what signals ask for until the command takes it, so that a signal during the start is not lost.
 *
 * Without a handler the JVM ends at once, which cuts off the requests of a process that already listens.
 */
class ProcessSignals : SignalHandler {
    private val requests = LinkedBlockingDeque<SignalRequest>()

    /** Whether a stop was requested that [await] has not returned yet. */
    val isStopRequested: Boolean get() = requests.peekFirst() == SignalRequest.STOP

    /** Handles SIGTERM, SIGINT and SIGHUP from now on. */
    fun install() {
        Signal.handle(Signal("TERM"), this)
        Signal.handle(Signal("INT"), this)
        Signal.handle(Signal(HANG_UP), this)
    }

    /** Adds the request of [signal]. Signals that ask for the same are one request until it is taken. */
    @Synchronized
    override fun handle(signal: Signal) {
        val request = if (signal.name == HANG_UP) SignalRequest.RELOAD else SignalRequest.STOP
        if (request in requests) return
        if (request == SignalRequest.STOP) requests.addFirst(request) else requests.addLast(request)
    }

    /** Waits up to [timeout] for a request and takes it, a stop first. Returns null when there is none. */
    fun await(timeout: Duration): SignalRequest? = requests.poll(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    private companion object {
        const val HANG_UP = "HUP"
    }
}
