package org.nutmegspring.gateway.http

import kotlin.time.Duration

/** The limits on the requests of one server. They are read again for each request, so that changes take effect. */
interface ServerLimits {
    /** The maximum size of a request body. */
    val maximumBodyBytes: Int

    /** Whether bodies are read into memory. Otherwise they are dropped as they arrive. */
    val isKeepingBodies: Boolean get() = true

    /** The maximum time from the head of a request until its body is complete. */
    val requestTimeout: Duration

    /** How long a connection without a request stays open. */
    val idleTimeout: Duration

    /** Whether the process is stopping, so that each connection is closed after its current answer. */
    val isStopping: Boolean
}
