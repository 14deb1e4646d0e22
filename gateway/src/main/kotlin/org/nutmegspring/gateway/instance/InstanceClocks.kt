package org.nutmegspring.gateway.instance

import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicClock

/** The clocks of an instance: [monotonic] for waits and windows, [ages] for proofs and leases. */
internal class InstanceClocks(val monotonic: MonotonicClock, val ages: AgeClock)
