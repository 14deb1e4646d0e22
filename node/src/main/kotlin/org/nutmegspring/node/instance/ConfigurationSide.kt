package org.nutmegspring.node.instance

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import org.nutmegspring.invariant.InvariantMonitor
import org.nutmegspring.node.configuration.ConfigurationEnvironment
import org.nutmegspring.node.configuration.ConfigurationRuntime
import org.nutmegspring.node.configuration.createConfigurationRuntime
import org.nutmegspring.platform.ObjectStore
import org.nutmegspring.time.MonotonicClock
import kotlin.time.DurationUnit

private val logger = KotlinLogging.logger {}

/** Starts the configuration of an instance, which is kept up to date in [scope]. */
internal fun startConfiguration(
    objects: ObjectStore,
    inner: InnerRuntime,
    clock: MonotonicClock,
    meters: MeterRegistry,
    scope: CoroutineScope,
): ConfigurationRuntime {
    val violations = meters.counter("nutmegspring.invariant.violations")
    val monitor = InvariantMonitor(seed = null) { violation ->
        violations.increment()
        logger.error { violation.toString() }
    }
    val environment = ConfigurationEnvironment(objects, inner.transport, inner.membership, clock, monitor)
    val runtime = createConfigurationRuntime(environment)
    inner.status.appliedRevision = { runtime.state.revision }
    inner.status.isCurrent = { runtime.view.checkFreshness().isRight() }
    inner.status.headReadAge = { runtime.headReadAge }
    registerGauges(meters, runtime)
    runtime.start(scope)
    return runtime
}

private fun registerGauges(meters: MeterRegistry, runtime: ConfigurationRuntime) {
    Gauge.builder("nutmegspring.configuration.revision", runtime) { it.state.revision.value.toDouble() }
        .register(meters)
    Gauge.builder("nutmegspring.configuration.evidence.age.seconds", runtime) {
        it.evidenceAge?.toDouble(DurationUnit.SECONDS) ?: Double.NaN
    }.register(meters)
}
