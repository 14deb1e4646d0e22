package org.nutmegspring.measure.fault

/** Lists the randomised runs. */
class FaultScenarioProvider {
    /** All randomised runs. */
    val scenarios: List<FaultScenario> = listOf()
}
