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

/** What of this instance's state is told to others. Concerns set it when they start. */
class ReportedStatus(private val gate: RequestGate) : SelfStatus {
    /** Reads the applied revision. */
    @Volatile
    var appliedRevision: () -> Revision = { Revision.NONE }

    /** Reads whether the configuration is current. */
    @Volatile
    var isCurrent: () -> Boolean = { false }

    /** Reads how long ago the head of the configuration was read from the store. */
    @Volatile
    var storeEvidence: () -> Duration? = { null }

    override fun load(): Double = gate.load

    override fun revision(): Revision = appliedRevision()

    override fun storeEvidenceAge(): Duration? = storeEvidence()
}

/** The side of an instance that other instances reach. */
class InnerSide internal constructor(
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
    /** Tells other instances of this one, which serves callers at [callerAddress]. */
    fun start(callerAddress: String, scope: CoroutineScope) {
        membership.setAddresses(callerAddress, address)
        membership.start(transport, scope)
        life.start(scope)
    }

    override fun close() = transport.close()
}

/** Opens the inner side of an instance. It tells others nothing before it is started. */
internal fun innerSide(
    settings: Settings,
    lists: PlatformLists,
    telemetry: Telemetry,
    clock: MonotonicClock,
): InnerSide {
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
    val host = hostOf(settings.inner.address)
    val options =
        TransportOptions(settings.instance.id, incarnation, host, portOf(settings.inner.address), membership)
    val transport = createInnerTransport(options, telemetry.tracer, clock)
    val port = runBlocking { transport.start() }
    bindCounters(telemetry.meters, transport.counters)
    val addressLifetime = settings.callers.addressLifetimeSeconds.seconds
    val directory = InstanceDirectory(membership, addressLifetime)
    val life = InstanceLife(membership, transport, { status.isCurrent() }, gate, addressLifetime)
    return InnerSide(incarnation, transport, membership, status, gate, directory, life, "$host:$port")
}

private fun bindCounters(meters: MeterRegistry, counters: TransportCounters) {
    fun bind(name: String, read: (TransportCounters) -> Long) {
        FunctionCounter.builder("nutmegspring.inner.$name", counters) { read(it).toDouble() }.register(meters)
    }
    bind("bytes.sent") { it.bytesSent }
    bind("bytes.received") { it.bytesReceived }
    bind("messages.sent") { it.framesSent }
    bind("messages.received") { it.framesReceived }
    bind("replies.dropped") { it.repliesDropped }
    bind("exchanges.failed") { it.exchangesFailed }
}
