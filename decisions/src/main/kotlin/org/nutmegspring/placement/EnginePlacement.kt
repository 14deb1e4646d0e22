package org.nutmegspring.placement

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId

/**
 * What an instance believes of one engine when it places a request.
 *
 * @property tokensAhead prompt tokens that the engine reads before this request
 * @property heldTokens tokens at the start of the prompt that the engine is believed to hold
 * @property requests requests at the engine, of all instances
 * @property slots the most requests that it runs at once
 * @property slowdown how many times slower than usual the engine answered lately
 */
data class EngineCandidate(
    val id: EndpointId,
    val role: EngineRole,
    val dataCentre: DataCentreId,
    val tokensAhead: Long,
    val heldTokens: Int,
    val requests: Int,
    val slots: Int,
    val slowdown: Double = 1.0,
)

/**
 * The work that is placed.
 *
 * @property promptTokens tokens of the whole prompt
 * @property sharedTokens tokens of the prompt that other requests begin with as well
 * @property chainKey identifies the shared parts, so that all instances rank the engines for them alike
 * @property longestWaitMilliseconds the wait above which the work would be refused
 */
data class PlacedWork(
    val promptTokens: Int,
    val sharedTokens: Int,
    val chainKey: Long,
    val longestWaitMilliseconds: Double = Double.MAX_VALUE,
)

/** Where a request goes. [expectedMilliseconds] is the time until its first output. */
sealed interface EnginePlan {
    /** The time until the first output, in milliseconds. */
    val expectedMilliseconds: Double

    /** The time until the prompt begins to be read, in milliseconds. */
    val waitMilliseconds: Double

    /** The engine that reads the prompt, as it was believed to be. */
    val reader: EngineCandidate

    /** One engine reads the prompt and generates. */
    data class Direct(
        override val reader: EngineCandidate,
        override val waitMilliseconds: Double,
        override val expectedMilliseconds: Double,
    ) : EnginePlan

    /** [reader] reads the prompt, and another engine fetches what was read and generates. */
    data class Handover(
        override val reader: EngineCandidate,
        override val waitMilliseconds: Double,
        override val expectedMilliseconds: Double,
    ) : EnginePlan
}

/**
 * The speeds that placement counts with.
 *
 * @property tokensPerMillisecond prompt tokens that an engine reads in the prefill role
 * @property decodeShare the part of that speed in the decode role
 * @property cacheBytesPerToken bytes that a hand-over moves for each token of the prompt
 * @property linkBytesPerMillisecond the speed of the link between engines
 */
data class EngineSpeeds(
    val tokensPerMillisecond: Double = 60.0,
    val decodeShare: Double = 0.5,
    val cacheBytesPerToken: Double = 163_840.0,
    val linkBytesPerMillisecond: Double = 250_000_000.0,
)

/**
 * Chooses engines for prompts.
 *
 * Load pattern: the mix swings between long prompts with much in common and short ones, faster than engines can change
 * roles, and reading is what binds. A request goes where its first output is expected soonest, counting the tokens
 * ahead of it and those of its prompt that the engine does not hold. Reading shared tokens again costs extra by the
 * part of the readers that are busy: it takes time from others only when they would use it. An engine with too long a
 * queue is passed over while others have room, whatever it holds.
 */
class EnginePlacement(private val speeds: EngineSpeeds = EngineSpeeds()) {
    /** Returns the plan with the least cost for [work] from [from], or null when no engine can take it. */
    fun plan(work: PlacedWork, candidates: List<EngineCandidate>, from: DataCentreId): EnginePlan? {
        val usable = candidates.filter { it.requests < it.slots * FULL_SHARE }.ifEmpty { candidates }
        val ready = usable.filter { waitMilliseconds(it) <= work.longestWaitMilliseconds }
        val readAgainWeight = READ_AGAIN_WEIGHT * busyShare(usable.filter { it.role != EngineRole.DECODE })
        val generators = usable.filter { it.role != EngineRole.PREFILL }
        val reader = ready.filter { it.role == EngineRole.PREFILL }
            .ifEmpty { usable.filter { it.role == EngineRole.PREFILL } }
            .minByOrNull { readCost(it, work, readAgainWeight) }
        val direct = generators
            .filter { reader == null || it.role == EngineRole.MIXED || unread(it, work) <= SMALL_PROMPT_TOKENS }
            .minByOrNull { directCost(it, work, from, readAgainWeight) }
        val target = reader?.let { source -> generators.minByOrNull { fetchCost(it, source, work) } }
        val handover = if (reader != null && target != null) {
            readCost(reader, work, readAgainWeight) + fetchCost(target, reader, work)
        } else {
            Double.MAX_VALUE
        }
        return when {
            direct != null && directCost(direct, work, from, readAgainWeight) <= handover -> {
                EnginePlan.Direct(
                    direct,
                    waitMilliseconds(direct),
                    readMilliseconds(direct, work) + FIRST_STEP_MILLISECONDS,
                )
            }

            reader != null && target != null -> {
                val expected = readMilliseconds(reader, work) + fetchMilliseconds(target, reader, work)
                EnginePlan.Handover(reader, waitMilliseconds(reader), expected + FIRST_STEP_MILLISECONDS)
            }

            else -> {
                null
            }
        }
    }

    /**
     * Returns the engine that generates from what [reader] has read, or null when there is none. It is chosen when the
     * prompt is read: reading may take long, and engines leave meanwhile.
     */
    fun generator(work: PlacedWork, candidates: List<EngineCandidate>, reader: EngineCandidate): EndpointId? =
        candidates.filter { it.role != EngineRole.PREFILL }.minByOrNull { fetchCost(it, reader, work) }?.id

    private fun speed(engine: EngineCandidate): Double = when (engine.role) {
        EngineRole.PREFILL, EngineRole.MIXED -> speeds.tokensPerMillisecond
        EngineRole.DECODE -> speeds.tokensPerMillisecond * speeds.decodeShare
    } / engine.slowdown

    private fun unread(engine: EngineCandidate, work: PlacedWork) = work.promptTokens - engine.heldTokens

    private fun waitMilliseconds(engine: EngineCandidate): Double = engine.tokensAhead / speed(engine)

    private fun readMilliseconds(engine: EngineCandidate, work: PlacedWork): Double =
        (engine.tokensAhead + unread(engine, work)) / speed(engine)

    /** Time to the first output, and the time that reading shared tokens again takes from others. */
    private fun readCost(engine: EngineCandidate, work: PlacedWork, readAgainWeight: Double): Double {
        val sharedAgain = maxOf(0, work.sharedTokens - engine.heldTokens)
        return readMilliseconds(engine, work) + readAgainWeight * sharedAgain / speed(engine) +
            rankMilliseconds(engine, work.chainKey)
    }

    private fun directCost(
        engine: EngineCandidate,
        work: PlacedWork,
        from: DataCentreId,
        readAgainWeight: Double,
    ): Double {
        val distance = if (engine.dataCentre == from) 0.0 else OTHER_DATA_CENTRE_MILLISECONDS
        return readCost(engine, work, readAgainWeight) + engine.requests * REQUEST_MILLISECONDS + distance
    }

    /** The part of [readers] that have tokens to read. */
    private fun busyShare(readers: List<EngineCandidate>): Double =
        if (readers.isEmpty()) 1.0 else readers.count { it.tokensAhead > 0 }.toDouble() / readers.size

    private fun fetchMilliseconds(target: EngineCandidate, source: EngineCandidate, work: PlacedWork): Double {
        val factor = if (target.dataCentre == source.dataCentre) 1.0 else OTHER_DATA_CENTRE_FACTOR
        val moved = work.promptTokens * speeds.cacheBytesPerToken
        return TRANSFER_SETUP_MILLISECONDS + factor * moved / speeds.linkBytesPerMillisecond
    }

    private fun fetchCost(target: EngineCandidate, source: EngineCandidate, work: PlacedWork): Double {
        val moved = work.promptTokens * speeds.cacheBytesPerToken
        return fetchMilliseconds(target, source, work) + moved * MOVED_BYTE_MILLISECONDS +
            target.requests * REQUEST_MILLISECONDS + target.tokensAhead / speed(target)
    }

    /** Ranks engines for a chain that none of them holds, alike at every instance. */
    private fun rankMilliseconds(engine: EngineCandidate, chainKey: Long): Double {
        val spread = mix(chainKey xor engine.id.value.hashCode().toLong()) ushr RANK_SHIFT
        return spread * RANK_MILLISECONDS / RANK_RANGE
    }

    private companion object {
        /** The part of an engine's slots above which it is passed over while others have room. */
        const val FULL_SHARE = 0.9

        /** The weight of time that reading a shared part again takes from other requests, when all readers are busy. */
        const val READ_AGAIN_WEIGHT = 0.5

        /** One more running request lengthens each step; a request takes a few steps. */
        const val REQUEST_MILLISECONDS = 0.5

        /** The first step after the prompt is read, and the way there. */
        const val FIRST_STEP_MILLISECONDS = 10.0

        /** Breaks ties in favour of the own data centre: traffic between data centres is paid for. */
        const val OTHER_DATA_CENTRE_MILLISECONDS = 4.0
        const val OTHER_DATA_CENTRE_FACTOR = 2.0
        const val TRANSFER_SETUP_MILLISECONDS = 4.0

        /** Weighs the price of moving a gigabyte like 10 ms of delay. */
        const val MOVED_BYTE_MILLISECONDS = 1e-8

        /** What is read beside generating delays the outputs of prompts read elsewhere; one piece does so by little. */
        const val SMALL_PROMPT_TOKENS = 512

        /** The greatest handicap by rank; smaller than reading a usual shared part. */
        const val RANK_MILLISECONDS = 20.0
        const val RANK_SHIFT = 48
        const val RANK_RANGE = 65_536.0
    }
}
