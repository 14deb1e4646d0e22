package org.nutmegspring.evacuation

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.spending.EndpointCounts
import kotlin.test.Test
import kotlin.test.assertEquals

class EvacuatedCapacitySpec {
    // Guards against orders in the evacuated data centre, and beyond the limits of the others.
    @Test
    fun `other data centres replace the endpoints of the evacuated one within their limits`() {
        val (evacuated, a, b) = listOf("rennes", "a", "b").map(::DataCentreId)
        val targets = mapOf(evacuated to EndpointCounts(1, 3), a to EndpointCounts(1, 1), b to EndpointCounts(1, 2))
        assertEquals(
            mapOf(a to EndpointCounts(1, 3), b to EndpointCounts(1, 3)),
            replaceEvacuated(targets, maxEndpoints = 4) { it != evacuated },
        )
    }
}
