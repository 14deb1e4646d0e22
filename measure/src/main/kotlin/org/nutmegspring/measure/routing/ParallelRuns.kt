package org.nutmegspring.measure.routing

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking

private const val PARALLEL_RUNS = 3

private val dispatcher = Dispatchers.Default.limitedParallelism(PARALLEL_RUNS)

/** Returns the results of [run] for all [inputs], in their order. The runs share nothing. */
internal fun <I, R> inParallel(inputs: List<I>, run: (I) -> R): List<R> = runBlocking {
    inputs.map { async(dispatcher) { run(it) } }.awaitAll()
}
