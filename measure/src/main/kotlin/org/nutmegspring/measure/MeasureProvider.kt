package org.nutmegspring.measure

import org.nutmegspring.measure.capacity.CapacityMeasure
import org.nutmegspring.measure.confirmations.ConfirmationsMeasure
import org.nutmegspring.measure.fault.FaultsMeasure
import org.nutmegspring.measure.limits.LimitMeasure
import org.nutmegspring.measure.path.PathMeasure
import org.nutmegspring.measure.roles.RolesMeasure
import org.nutmegspring.measure.routing.RoutingMeasure
import org.nutmegspring.measure.usage.UsageMeasure

/** Lists the measures. */
class MeasureProvider {
    /** All measures in the order in which the help text lists them. */
    val measures: List<Measure> = listOf(
        PathMeasure(),
        RoutingMeasure(),
        RolesMeasure(),
        ConfirmationsMeasure(),
        FaultsMeasure(),
        UsageMeasure(),
        LimitMeasure(),
        CapacityMeasure(),
    )

    /** Returns the measure called [name], or null when there is none. */
    fun find(name: String): Measure? = measures.find { it.name == name }
}
