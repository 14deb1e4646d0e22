package org.nutmegspring.gateway.instance

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import org.nutmegspring.gateway.observe.DecisionEvent
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class LastingTasksSpec {
    private val logged = mutableListOf<DecisionEvent>()

    private fun countStarts(fail: suspend () -> Unit): Int {
        var starts = 0
        runTest {
            LastingTasks(backgroundScope) { logged += it }.start("feed") {
                starts++
                if (starts == 1) fail()
                awaitCancellation()
            }
            advanceTimeBy(10.seconds)
        }
        return starts
    }

    @Test
    fun `a task that throws begins again and is named in the log`() {
        assertEquals(2, countStarts { error("odd entry") })
        val fields = logged.single().fields()
        assertTrue("feed" in "${fields["what"]}" && "odd entry" in "${fields["reason"]}", "$fields")
    }

    @Test
    fun `a task that exhausts the stack begins again`() {
        assertEquals(2, countStarts { throw StackOverflowError() })
    }

    @Test
    fun `a timeout that expires within a task does not end it`() {
        assertEquals(2, countStarts { withTimeout(1.milliseconds) { awaitCancellation() } })
    }
}
