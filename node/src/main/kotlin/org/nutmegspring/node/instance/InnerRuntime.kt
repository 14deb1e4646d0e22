package org.nutmegspring.node.instance

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.runBlocking
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.Revision
import org.nutmegspring.node.membership.HeartbeatMembership
import org.nutmegspring.node.membership.InstanceDirectory
import org.nutmegspring.node.membership.InstanceLife
import org.nutmegspring.node.membership.RequestGate
import org.nutmegspring.node.membership.SelfDescription
import org.nutmegspring.node.membership.SelfStatus
import org.nutmegspring.node.observe.Telemetry
import org.nutmegspring.node.settings.Settings
import org.nutmegspring.platform.PlatformLists
import org.nutmegspring.protocol.InnerTransport
import org.nutmegspring.protocol.TransportCounters
import org.nutmegspring.protocol.TransportOptions
import org.nutmegspring.protocol.createInnerTransport
import org.nutmegspring.time.MonotonicClock
import java.security.SecureRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The state that this instance reports to others. Components set their part when they start. */
class ReportedStatus(private val gate: RequestGate) : SelfStatus {
    /** Returns the applied revision. */
    @Volatile
    var appliedRevision: () -> Revision = { Revision.NONE }

    /** Returns whether the configuration is current. */
    @Volatile
    var isCurrent: () -> Boolean = { false }

    /** Returns the time since the head of the configuration was last read from the store, or null if it never was. */
    @Volatile
    var headReadAge: () -> Duration? = { null }

    override fun load(): Double = gate.load

    override fun revision(): Revision = appliedRevision()

    override fun storeEvidenceAge(): Duration? = headReadAge()
}

/** The parts of an instance that communicate with other instances. */
class InnerRuntime internal constructor(
    val incarnation: Incarnation,
    val transport: InnerTransport,
    val membership: HeartbeatMembership,
    val status: ReportedStatus,
    val gate: RequestGate,
    val directory: InstanceDirectory,
    val life: InstanceLife,
    /** The address for other instances, `host:port`. */
    val address: String,
) : AutoCloseable {
    /** Starts to announce this instance, which serves callers at [callerAddress], to other instances. */
    fun start(callerAddress: String, scope: CoroutineScope) {
        membership.setAddresses(callerAddress, address)
        membership.start(transport, scope)
        life.start(scope)
    }

    override fun close() = transport.close()
}

/** Creates the inner runtime and opens its port. The instance is not announced to others until it is started. */
internal fun createInnerRuntime(
    settings: Settings,
    lists: PlatformLists,
    telemetry: Telemetry,
    clock: MonotonicClock,
): InnerRuntime {
    val incarnation = Incarnation(SecureRandom().nextLong())
    val gate = RequestGate()
    val status = ReportedStatus(gate)
    val description = SelfDescription(
        settings.instance.id,
        incarnation,
        settings.instance.dataCentre,
        settings.callers.address,
        settings.inner.address,
    )
    val membership = HeartbeatMembership(description, status, lists, clock)
    val host = parseHost(settings.inner.address)
    val options =
        TransportOptions(settings.instance.id, incarnation, host, parsePort(settings.inner.address), membership)
    val transport = createInnerTransport(options, telemetry.tracer, clock)
    val port = runBlocking { transport.start() }
    registerCounters(telemetry.meters, transport.counters)
    val addressLifetime = settings.callers.addressLifetimeSeconds.seconds
    val directory = InstanceDirectory(membership, addressLifetime)
    val life = InstanceLife(membership, transport, { status.isCurrent() }, gate, addressLifetime)
    return InnerRuntime(incarnation, transport, membership, status, gate, directory, life, "$host:$port")
}

private fun registerCounters(meters: MeterRegistry, counters: TransportCounters) {
    fun register(name: String, read: (TransportCounters) -> Long) {
        FunctionCounter.builder("nutmegspring.inner.$name", counters) { read(it).toDouble() }.register(meters)
    }
    register("bytes.sent") { it.bytesSent }
    register("bytes.received") { it.bytesReceived }
    register("messages.sent") { it.framesSent }
    register("messages.received") { it.framesReceived }
    register("replies.dropped") { it.repliesDropped }
    register("exchanges.failed") { it.exchangesFailed }
}
