package org.nutmegspring.fairness

import org.junit.jupiter.api.Nested
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertSame
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class FairQueueSpec {
    private val small = OrganisationId("small")
    private val large = OrganisationId("large")
    private val queue = fairQueue<Int>(capacity = 10)

    private fun offer(organisation: OrganisationId, cost: Long = 10, weight: Int = 1, deadlineSeconds: Int = 60) =
        queue.offer(organisation, weight, cost, MonotonicTime.ZERO + deadlineSeconds.seconds, 0)

    private fun queuedItem(offer: OfferResult<Int>) = assertIs<OfferResult.Queued<Int>>(offer).item

    @Nested
    inner class `given one organisation with a long backlog` {
        private val backlog = List(8) { queuedItem(offer(large)) }

        @Test
        fun `an organisation that arrives later is served next`() {
            queue.poll()
            val late = queuedItem(offer(small))
            assertSame(late, queue.poll())
        }

        @Test
        fun `its items are served in the order of arrival`() {
            assertEquals(backlog, List(8) { queue.poll() })
            assertNull(queue.poll())
        }

        @Test
        fun `a removed item costs its organisation nothing`() {
            backlog.dropLast(1).forEach { assertTrue(queue.remove(it)) }
            assertSame(backlog.last(), queue.poll())
            val next = listOf(queuedItem(offer(large)), queuedItem(offer(small)))
            assertEquals(next, List(2) { queue.poll() })
        }

        @Test
        fun `a full queue removes its newest item to make room for another organisation`() {
            queuedItem(offer(large))
            val newest = queuedItem(offer(large))
            assertSame(newest, assertIs<OfferResult.QueuedInPlaceOf<Int>>(offer(small)).displaced)
            assertIs<OfferResult.Full<Int>>(offer(large))
            assertEquals(10, queue.size)
        }
    }

    @Nested
    inner class `given items with deadlines` {
        @Test
        fun `expired items are removed in the order of their deadlines`() {
            val second = queuedItem(offer(large, deadlineSeconds = 2))
            val first = queuedItem(offer(small, deadlineSeconds = 1))
            val third = queuedItem(offer(small, deadlineSeconds = 3))
            assertEquals(listOf(first, second), queue.expire(MonotonicTime.ZERO + 2.seconds))
            assertSame(third, queue.poll())
        }
    }

    @Nested
    inner class `given random costs and one organisation that floods the queue` {
        @Test
        fun `organisations with a backlog are served in proportion to their weights`() {
            for (seed in 1L..20L) {
                val served = serve(Random(seed))
                val perWeight = WEIGHTS.mapIndexed { index, weight -> served[index].toDouble() / weight }
                assertTrue(perWeight.max() - perWeight.min() <= 2 * MAXIMUM_COST, "seed $seed: $perWeight")
            }
        }

        private fun serve(random: Random): LongArray {
            val fullQueue = fairQueue<Int>(capacity = 64)
            val served = LongArray(WEIGHTS.size)
            val waiting = IntArray(WEIGHTS.size)
            repeat(20_000) {
                WEIGHTS.indices.filter { it == 0 || waiting[it] < 5 }.forEach { index ->
                    val cost = random.nextLong(1, MAXIMUM_COST)
                    val offer = fullQueue.offer(
                        OrganisationId("$index"),
                        WEIGHTS[index],
                        cost,
                        MonotonicTime.ZERO + 1.seconds,
                        index,
                    )
                    if (offer !is OfferResult.Full) waiting[index]++
                    if (offer is OfferResult.QueuedInPlaceOf) waiting[offer.displaced.value]--
                }
                val next = checkNotNull(fullQueue.poll())
                served[next.value] += next.cost
                waiting[next.value]--
            }
            return served
        }
    }

    private companion object {
        val WEIGHTS = listOf(1, 1, 2, 4)
        const val MAXIMUM_COST = 500L
    }
}
