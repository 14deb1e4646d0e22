package org.nutmegspring.measure.fault

import org.nutmegspring.measure.configuration.ConfigurationScenario
import org.nutmegspring.measure.confirmations.ExecutionScenario
import org.nutmegspring.measure.lease.ControlScenario
import org.nutmegspring.measure.limits.LimitScenario
import org.nutmegspring.measure.usage.UsageScenario

/** Lists the randomised runs. */
class FaultScenarioProvider {
    /** All randomised runs. */
    val scenarios: List<FaultScenario> = listOf(
        ControlScenario(),
        ConfigurationScenario(),
        LimitScenario(),
        ExecutionScenario(),
        UsageScenario(),
    )
}
