package org.nutmegspring.routing

/** How an engine is chosen. */
sealed interface RoutingPolicy {
    /** The engine with the least known load. */
    data object LeastLoaded : RoutingPolicy

    /** The less loaded of two engines drawn at random. */
    data object TwoChoices : RoutingPolicy

    /**
     * The engine to which the hash of the first piece is assigned, unless its load passes [loadBound] times the
     * average; then the next by hash, then the least loaded.
     */
    data class BoundedHash(val loadBound: Double = 1.25) : RoutingPolicy

    /**
     * Weighted votes: each cached piece of the prompt is a vote for its engine, divided by the engine's load relative
     * to the average where that exceeds one. Engines above [overload] times the average are left out. An engine is
     * chosen when it has at least [benefit] times the votes that pieces spread evenly would give it; otherwise the
     * hash of the first piece decides.
     *
     * @property sampleBits only pieces whose hash ends with this many zero bits vote
     */
    data class CacheVotes(
        val benefit: Double = 1.5,
        val overload: Double = 1.05,
        val sampleBits: Int = 0,
    ) : RoutingPolicy

    /**
     * The engine with the least expected delay of the first token and of the tokens after it.
     *
     * @property nearEqualSeconds engines whose cost is this close to the least are drawn from at random
     * @property missWeight the weight of the prefill that a request adds, which delays others beside itself
     * @property gapSeconds the time between tokens from which further streams are avoided
     * @property gapWeight the cost in seconds of each second by which that time is passed
     * @property streamWeight the number of tokens whose time counts as cost
     * @property sample how many engines are candidates by lot, beside those by cached pieces and by hash
     */
    data class ExpectedDelay(
        val nearEqualSeconds: Double = 0.030,
        val missWeight: Double = 3.0,
        val gapSeconds: Double = 0.050,
        val gapWeight: Double = 20.0,
        val streamWeight: Double = 4.0,
        val sample: Int = 2,
    ) : RoutingPolicy
}
