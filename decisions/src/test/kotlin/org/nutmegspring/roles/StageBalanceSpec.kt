package org.nutmegspring.roles

import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StageBalanceSpec {
    private val balance = StageBalance()

    private fun engines(readers: Int, generators: Int): List<BalancedEngine> =
        List(readers + generators) { index ->
            val role = if (index < readers) EngineRole.PREFILL else EngineRole.DECODE
            BalancedEngine(EndpointId("e$index"), role, DataCentreId("dc${index % 3}"))
        }

    private fun applied(engines: List<BalancedEngine>): List<BalancedEngine> {
        val changes = balance.changes(engines).associate { it.engine to it.role }
        return engines.map { it.copy(role = changes[it.id] ?: it.role) }
    }

    @Nested
    inner class `given more generating engines than are needed` {
        @Test
        fun `all but a few read prompts, and the few stand in different data centres`() {
            val after = applied(engines(readers = 5, generators = 8))
            val generators = after.filter { it.role == EngineRole.DECODE }
            assertEquals(3, generators.size)
            assertEquals(3, generators.map { it.dataCentre }.distinct().size)
        }

        @Test
        fun `after that nothing changes`() {
            assertTrue(balance.changes(applied(engines(readers = 5, generators = 8))).isEmpty())
        }
    }

    @Nested
    inner class `when generating engines are lost` {
        @Test
        fun `the loss of one of several changes nothing`() {
            assertTrue(balance.changes(engines(readers = 31, generators = 7)).isEmpty())
        }

        @Test
        fun `the loss of a data centre's readers changes nothing`() {
            assertTrue(balance.changes(engines(readers = 22, generators = 6)).isEmpty())
            assertTrue(balance.changes(engines(readers = 16, generators = 6)).isEmpty())
        }

        @Test
        fun `too few are made up`() {
            val after = applied(engines(readers = 10, generators = 1))
            assertEquals(3, after.count { it.role == EngineRole.DECODE })
        }
    }

    @Nested
    inner class `when a data centre may lose its interruptible engines at once` {
        @Test
        fun `the steady ones generate`() {
            val all = List(20) { index ->
                val dataCentre = DataCentreId("dc${index % 4}")
                BalancedEngine(EndpointId("e$index"), EngineRole.DECODE, dataCentre, isInterruptible = index >= 4)
            }
            val generators = applied(all).filter { it.role == EngineRole.DECODE }
            assertEquals(4, generators.count { !it.isInterruptible }, "$generators")
        }
    }
}
