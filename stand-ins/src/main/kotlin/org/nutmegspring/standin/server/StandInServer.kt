package org.nutmegspring.standin.server

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.runBlocking

/** A running server of a stand-in. */
class StandInServer internal constructor(
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>,
    private val host: String,
) : AutoCloseable {
    /** The address at which it listens, `host:port`. */
    val address: String = "$host:${runBlocking { server.engine.resolvedConnectors() }.first().port}"

    override fun close() {
        server.stop(0, GRACE_MILLISECONDS)
    }

    private companion object {
        const val GRACE_MILLISECONDS = 200L
    }
}

/** Starts a server at [host] and [port]; port 0 takes a free one. [idleSeconds] closes idle connections. */
fun startStandInServer(
    host: String,
    port: Int,
    idleSeconds: Int = DEFAULT_IDLE_SECONDS,
    module: Application.() -> Unit,
): StandInServer {
    val server = embeddedServer(
        CIO,
        configure = {
            connectionIdleTimeoutSeconds = idleSeconds
            connectors.add(
                io.ktor.server.engine.EngineConnectorBuilder().apply {
                    this.host = host
                    this.port = port
                },
            )
        },
        module = module,
    )
    server.start(wait = false)
    return StandInServer(server, host)
}

private const val DEFAULT_IDLE_SECONDS = 45
