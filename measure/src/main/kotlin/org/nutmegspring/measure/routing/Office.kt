package org.nutmegspring.measure.routing

import org.nutmegspring.identity.DataCentreId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The size of an installation.
 *
 * @property distance the time that a message takes from one data centre to another
 */
enum class Office(val dataCentres: List<DataCentreId>, val engines: Int, val services: Int, val distance: Duration) {
    /** Four data centres. */
    BRITTANY(
        listOf("rennes", "brest", "vannes", "quimper").map(::DataCentreId),
        engines = 12,
        services = 4,
        1.5.milliseconds,
    ),

    /** Three data centres. */
    AMMAN(listOf("abdali", "jabal-amman", "sweileh").map(::DataCentreId), engines = 12, services = 3, 0.5.milliseconds),
    ;

    /** The name in reports. */
    val label: String get() = name.lowercase()
}
