package org.nutmegspring.measure.fault

import org.nutmegspring.invariant.Invariant
import org.nutmegspring.invariant.Violation

/** A kind of fault that a randomised run injects. */
enum class Fault {
    /** The store answers nothing. */
    STORE_DOWN,

    /** The store answers late. */
    STORE_SLOW,

    /** A change takes effect and its reply is lost. */
    REPLY_LOST,

    /** A process stops for longer than its lease and goes on. */
    PAUSE,

    /** A process ends at once. */
    KILL,

    /** One instance reaches nobody. */
    INSTANCE_CUT_OFF,

    /** Data centres do not reach each other. */
    DATA_CENTRES_APART,

    /** The platform's lists are old. */
    LIST_STALE,

    /** An endpoint ends at once. */
    ENDPOINT_CRASH,

    /** A pool of reclaimable endpoints is withdrawn. */
    POOL_RECLAIMED,

    /** Two operators change the same object. */
    OPERATORS_RACE,

    /** A message is delivered late, twice or out of order. */
    MESSAGE_DISORDER,
}

/** A deliberate defect of a scenario's decisions that [caughtBy] must reveal. */
data class Defect(
    val name: String,
    val caughtBy: Set<Invariant>,
)

/** The outcome of a randomised run. [digest] is equal for equal runs. */
data class ScenarioOutcome(
    val steps: Long,
    val faults: Map<Fault, Long>,
    val digest: Long,
    val violation: Violation?,
)

/** A randomised run of some decisions against small fakes, on virtual time. */
interface FaultScenario {
    /** The name in reports. */
    val name: String

    /** The defects that the invariants of this scenario must reveal. */
    val defects: List<Defect>

    /** Runs about [steps] steps from [seed], with [defect] built in when it is not null. */
    fun run(seed: Long, steps: Int, defect: Defect? = null): ScenarioOutcome
}
