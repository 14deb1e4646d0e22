package org.nutmegspring.measure.capacity

/** The size that the system has to reach, and what an instance may spend on control there. */
internal object CapacityTarget {
    const val INSTANCES = 780
    const val WORKERS = 3_200
    const val ORGANISATIONS = 24_000
    const val DATA_CENTRES = 12
    const val REQUESTS_PER_SECOND = 68_000.0
    const val CHANGES_PER_DAY = 11_000.0
    const val SECONDS_PER_DAY = 86_400.0
    const val CONTROL_CORE_SHARE = 0.024
    const val CONTROL_BYTES = 256e6
    const val CONTROL_BYTES_PER_SECOND = 16e3
    const val STORE_READS_PER_SECOND = 2_000.0
    const val STORE_WRITES_PER_SECOND = 300.0
    const val DECISION_MICROSECONDS = 50.0

    /** Requests that one instance admits in a second. */
    const val REQUESTS_OF_INSTANCE: Double = REQUESTS_PER_SECOND / INSTANCES
}
