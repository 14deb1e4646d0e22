package org.nutmegspring.roles

import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RoleBalancerSpec {
    private val balancer = RoleBalancer()

    private fun engines(prefill: Int, decode: Int): List<BalancedEngine> =
        List(prefill + decode) { index ->
            val role = if (index < prefill) EngineRole.PREFILL else EngineRole.DECODE
            BalancedEngine(EndpointId("e$index"), role, DataCentreId("dc${index % 3}"))
        }

    private fun applyChanges(engines: List<BalancedEngine>): List<BalancedEngine> {
        val changes = balancer.planChanges(engines).associate { it.engine to it.role }
        return engines.map { it.copy(role = changes[it.id] ?: it.role) }
    }

    @Nested
    inner class `given more decode engines than needed` {
        @Test
        fun `the excess changes to prefill, and the rest is spread over data centres`() {
            val after = applyChanges(engines(prefill = 5, decode = 8))
            val decodeEngines = after.filter { it.role == EngineRole.DECODE }
            assertEquals(3, decodeEngines.size)
            assertEquals(3, decodeEngines.map { it.dataCentre }.distinct().size)
        }

        @Test
        fun `no further change follows`() {
            assertTrue(balancer.planChanges(applyChanges(engines(prefill = 5, decode = 8))).isEmpty())
        }
    }

    @Nested
    inner class `given engines with few slots` {
        private fun withFewSlots(prefill: Int, decode: Int) = engines(prefill, decode).map { it.copy(slots = 8) }

        @Test
        fun `enough engines decode that outputs find slots`() {
            val after = applyChanges(withFewSlots(prefill = 10, decode = 38))
            assertEquals(16, after.count { it.role == EngineRole.DECODE })
            assertTrue(balancer.planChanges(after).isEmpty())
        }

        @Test
        fun `the loss of many of them is made good, that of a few is not`() {
            assertTrue(balancer.planChanges(withFewSlots(prefill = 32, decode = 12)).isEmpty())
            val after = applyChanges(withFewSlots(prefill = 38, decode = 8))
            assertEquals(16, after.count { it.role == EngineRole.DECODE })
        }
    }

    @Nested
    inner class `when engines are lost` {
        @Test
        fun `the loss of one decode engine of several changes no role`() {
            assertTrue(balancer.planChanges(engines(prefill = 31, decode = 7)).isEmpty())
        }

        @Test
        fun `the loss of a data centre's prefill engines changes no role`() {
            assertTrue(balancer.planChanges(engines(prefill = 22, decode = 6)).isEmpty())
            assertTrue(balancer.planChanges(engines(prefill = 16, decode = 6)).isEmpty())
        }

        @Test
        fun `too few decode engines are increased to the target`() {
            val after = applyChanges(engines(prefill = 10, decode = 1))
            assertEquals(3, after.count { it.role == EngineRole.DECODE })
        }
    }

    @Nested
    inner class `when a data centre may lose its interruptible engines at once` {
        @Test
        fun `the steady ones decode`() {
            val all = List(20) { index ->
                val dataCentre = DataCentreId("dc${index % 4}")
                BalancedEngine(EndpointId("e$index"), EngineRole.DECODE, dataCentre, isInterruptible = index >= 4)
            }
            val decodeEngines = applyChanges(all).filter { it.role == EngineRole.DECODE }
            assertEquals(4, decodeEngines.count { !it.isInterruptible }, "$decodeEngines")
        }
    }
}
