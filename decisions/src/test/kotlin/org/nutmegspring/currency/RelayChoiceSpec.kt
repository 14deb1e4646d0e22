package org.nutmegspring.currency

import org.nutmegspring.identity.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RelayChoiceSpec {
    private fun instances(count: Int) = List(count) { InstanceId("entry-$it") }.toSet()

    @Test
    fun `few instances are relays, at 9 as at 781`() {
        val counts = listOf(2, 6, 9, 74, 92, 300, 781).associateWith { RelayChoice.relays(instances(it)).size }
        assertEquals(mapOf(2 to 2, 6 to 3, 9 to 3, 74 to 6, 92 to 6, 300 to 15, 781 to 35), counts)
    }

    @Test
    fun `when a relay is lost the others stay and the next in rank takes its place`() {
        val all = instances(92)
        val before = RelayChoice.relays(all)
        val after = RelayChoice.relays(all - before.first())
        assertEquals(before - before.first(), before intersect after)
        assertEquals(before.size, after.size)
    }

    @Test
    fun `relays of the own data centre are asked first, and the questions spread over them`() {
        val relays = RelayChoice.relays(instances(300))
        val near = relays.take(4).toSet()
        val orders = instances(300).map { self -> RelayChoice.orderFor(self, relays) { it in near } }
        assertTrue(orders.all { it.take(4).toSet() == near && it.toSet() == relays })
        assertEquals(near, orders.map { it.first() }.toSet())
    }
}
