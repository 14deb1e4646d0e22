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

    private fun put(organisation: OrganisationId, cost: Long = 10, weight: Int = 1, deadlineSeconds: Int = 60) =
        queue.offer(organisation, weight, cost, MonotonicTime.ZERO + deadlineSeconds.seconds, 0)

    private fun item(offer: Offer<Int>) = assertIs<Offer.Queued<Int>>(offer).item

    @Nested
    inner class `given one organisation with a long backlog` {
        private val backlog = List(8) { item(put(large)) }

        @Test
        fun `an organisation that arrives later is served next`() {
            queue.poll()
            val late = item(put(small))
            assertSame(late, queue.poll())
        }

        @Test
        fun `its items leave in the order of arrival`() {
            assertEquals(backlog, List(8) { queue.poll() })
            assertNull(queue.poll())
        }

        @Test
        fun `an item that was removed costs nothing`() {
            backlog.dropLast(1).forEach { assertTrue(queue.remove(it)) }
            assertSame(backlog.last(), queue.poll())
            val next = listOf(item(put(large)), item(put(small)))
            assertEquals(next, List(2) { queue.poll() })
        }

        @Test
        fun `a full queue gives up its newest item for another organisation`() {
            item(put(large))
            val newest = item(put(large))
            assertSame(newest, assertIs<Offer.QueuedInPlaceOf<Int>>(put(small)).displaced)
            assertIs<Offer.Full<Int>>(put(large))
            assertEquals(10, queue.size)
        }
    }

    @Nested
    inner class `given items with deadlines` {
        @Test
        fun `those that are due leave in the order of their deadlines`() {
            val second = item(put(large, deadlineSeconds = 2))
            val first = item(put(small, deadlineSeconds = 1))
            val third = item(put(small, deadlineSeconds = 3))
            assertEquals(listOf(first, second), queue.expire(MonotonicTime.ZERO + 2.seconds))
            assertSame(third, queue.poll())
        }
    }

    @Nested
    inner class `given random costs and one organisation that floods the queue` {
        @Test
        fun `those with a backlog are served in proportion to their weights`() {
            for (seed in 1L..20L) {
                val served = serve(Random(seed))
                val perWeight = WEIGHTS.mapIndexed { index, weight -> served[index].toDouble() / weight }
                assertTrue(perWeight.max() - perWeight.min() <= 2 * MOST_COST, "seed $seed: $perWeight")
            }
        }

        private fun serve(random: Random): LongArray {
            val crowded = fairQueue<Int>(capacity = 64)
            val served = LongArray(WEIGHTS.size)
            val waiting = IntArray(WEIGHTS.size)
            repeat(20_000) {
                WEIGHTS.indices.filter { it == 0 || waiting[it] < 5 }.forEach { index ->
                    val cost = random.nextLong(1, MOST_COST)
                    val offer = crowded.offer(
                        OrganisationId("$index"),
                        WEIGHTS[index],
                        cost,
                        MonotonicTime.ZERO + 1.seconds,
                        index,
                    )
                    if (offer !is Offer.Full) waiting[index]++
                    if (offer is Offer.QueuedInPlaceOf) waiting[offer.displaced.value]--
                }
                val next = checkNotNull(crowded.poll())
                served[next.value] += next.cost
                waiting[next.value]--
            }
            return served
        }
    }

    private companion object {
        val WEIGHTS = listOf(1, 1, 2, 4)
        const val MOST_COST = 500L
    }
}
