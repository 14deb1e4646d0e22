package org.nutmegspring.routing

/** The policy by which engines are chosen. */
sealed interface RoutingPolicy {
    /** Chooses the engine with the least known load. */
    data object LeastLoaded : RoutingPolicy

    /** Chooses the less loaded of two engines drawn at random (power of two choices). */
    data object TwoChoices : RoutingPolicy

    /**
     * Chooses the primary engine of the first piece by hash, then the secondary engine, skipping engines whose load
     * exceeds [loadBound] times the average. Falls back to the least loaded engine.
     */
    data class BoundedHash(val loadBound: Double = 1.25) : RoutingPolicy

    /**
     * Chooses by weighted votes: each cached piece of the prompt is a vote for the engines that have it. The votes of
     * an engine are divided by its load relative to the average if that ratio exceeds 1. Engines whose load exceeds
     * [loadBound] times the average are skipped. The engine with the most votes is chosen if it has at least
     * [voteThreshold] times the votes that it would get from evenly spread pieces; otherwise [BoundedHash] decides.
     *
     * @property sampleBits only pieces whose hash ends with at least this many zero bits vote
     */
    data class CacheVotes(
        val voteThreshold: Double = 1.5,
        val loadBound: Double = 1.05,
        val sampleBits: Int = 0,
    ) : RoutingPolicy

    /**
     * Chooses the engine with the lowest cost, computed from the expected delays of the first token and of later
     * tokens.
     *
     * @property tieToleranceSeconds engines whose cost is within this of the minimum are drawn from at random
     * @property addedPrefillWeight the additional weight of the prefill of the request, because it delays other
     * requests
     * @property interTokenThresholdSeconds the time between tokens above which further streams are penalized
     * @property interTokenExcessWeight the cost in seconds for each second by which that threshold is exceeded
     * @property decodeTokenWeight the number of generated tokens whose time is included in the cost
     * @property sampleSize the number of candidates drawn at random, in addition to those by cached pieces and by hash
     */
    data class ExpectedDelay(
        val tieToleranceSeconds: Double = 0.030,
        val addedPrefillWeight: Double = 3.0,
        val interTokenThresholdSeconds: Double = 0.050,
        val interTokenExcessWeight: Double = 20.0,
        val decodeTokenWeight: Double = 4.0,
        val sampleSize: Int = 2,
    ) : RoutingPolicy
}
