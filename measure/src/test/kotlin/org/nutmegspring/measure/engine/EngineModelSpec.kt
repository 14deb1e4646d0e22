package org.nutmegspring.measure.engine

import org.junit.jupiter.api.Nested
import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.measure.virtual.VirtualSchedule
import org.nutmegspring.routing.EngineCosts
import org.nutmegspring.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EngineModelSpec {
    private val schedule = VirtualSchedule()
    private val engine = EngineModel(EndpointId("engine"), DataCentreId("vannes"), EngineCosts(), 4, schedule)

    private class Recorder : EngineJobListener {
        var firstToken: MonotonicTime? = null
        var finished: MonotonicTime? = null
        var cached = 0

        override fun onFirstToken(time: MonotonicTime, cachedTokens: Int) {
            firstToken = time
            cached = cachedTokens
        }

        override fun onFinished(time: MonotonicTime) {
            finished = time
        }
    }

    private fun submit(pieces: LongArray, promptTokens: Int, outputTokens: Int): Recorder = Recorder().also {
        engine.submit(EngineJob(pieces, promptTokens, outputTokens, JobPart.WHOLE, it))
    }

    @Nested
    inner class `given a prompt of 2,048 tokens and three tokens of output` {
        @Test
        fun `two iterations process the prompt and two more generate the rest`() {
            val recorder = submit(LongArray(0), 2_048, 3)
            schedule.runUntil(MonotonicTime.ZERO + 1.seconds)
            assertEquals(MonotonicTime.ZERO + 60.96.milliseconds, recorder.firstToken)
            assertEquals(MonotonicTime.ZERO + 81.36.milliseconds, recorder.finished)
        }
    }

    @Nested
    inner class `given a prompt that came before` {
        @Test
        fun `its whole pieces are cached until others push them out`() {
            val prompt = longArrayOf(1, 2)
            submit(prompt, 4_100, 1)
            schedule.runUntil(schedule.now() + 1.seconds)
            val second = submit(prompt, 4_100, 1)
            schedule.runUntil(schedule.now() + 1.seconds)
            submit(longArrayOf(3, 4, 5), 6_000, 1)
            schedule.runUntil(schedule.now() + 1.seconds)
            val third = submit(prompt, 4_100, 1)
            schedule.runUntil(schedule.now() + 1.seconds)
            assertEquals(listOf(4_000, 0), listOf(second.cached, third.cached))
        }
    }

    @Nested
    inner class `given a change of role under load` {
        @Test
        fun `it begins when the work is done and takes its time`() {
            val recorder = submit(LongArray(0), 1_000, 50)
            engine.changeRole(EngineRole.DECODE, 3.seconds)
            schedule.runUntil(MonotonicTime.ZERO + 2.seconds)
            assertEquals(listOf(true, EngineRole.MIXED), listOf(engine.changing, engine.role))
            schedule.runUntil(MonotonicTime.ZERO + 6.seconds)
            assertEquals(listOf(false, EngineRole.DECODE), listOf(engine.changing, engine.role))
            assertEquals(true, recorder.finished != null)
        }
    }
}
