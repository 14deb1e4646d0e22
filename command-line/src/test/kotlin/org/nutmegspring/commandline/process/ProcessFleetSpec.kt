package org.nutmegspring.commandline.process

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ProcessFleetSpec {
    private val killed = mutableSetOf<String>()

    @Nested
    inner class `given instances as processes under load` {
        @Test
        fun `every answer is whole and nothing runs twice through kills, pauses and planned stops`(
            @TempDir folder: File,
        ) {
            ProcessFleet(folder).use { fleet ->
                RigLoad(fleet).use { load -> runBlocking(Dispatchers.Default) { prove(fleet, load) } }
            }
        }
    }

    private suspend fun prove(fleet: ProcessFleet, load: RigLoad) {
        val first = List(INSTANCES) { fleet.startInstance() }
        first.forEach { fleet.admit(it) }
        fleet.configure()
        coroutineScope {
            val callers = load.start(this, CALLERS)
            progress(load)
            repeat(ROUNDS) { round(fleet, load) }
            callers.forEach { it.cancelAndJoin() }
        }
        assertEquals(emptyList(), load.wrong.toList())
        assertEquals(emptySet(), load.lost.keys - killed, "instances that were not killed cut requests")
        assertTrue(fleet.executions().mostOfOneKey <= 1)
        assertTrue(load.confirmed.get() > 0)
    }

    private suspend fun CoroutineScope.round(fleet: ProcessFleet, load: RigLoad) {
        pause(fleet, load)
        kill(fleet, load)
        stop(fleet, load)
    }

    private suspend fun pause(fleet: ProcessFleet, load: RigLoad) {
        val paused = fleet.instances.random()
        paused.process.signal("STOP")
        fleet.instances.remove(paused)
        progress(load)
        paused.process.signal("CONT")
        fleet.admit(paused)
        progress(load)
    }

    private suspend fun kill(fleet: ProcessFleet, load: RigLoad) {
        val instance = fleet.instances.random()
        killed.add(instance.id)
        instance.process.kill()
        fleet.instances.remove(instance)
        fleet.unlist(instance)
        progress(load)
        fleet.admit(fleet.startInstance())
        progress(load)
    }

    private suspend fun stop(fleet: ProcessFleet, load: RigLoad) {
        val replacement = fleet.startInstance()
        fleet.admit(replacement)
        val stopped = fleet.instances.first { it != replacement }
        stopped.process.signal("TERM")
        fleet.instances.remove(stopped)
        assertTrue(stopped.process.awaitEnd(), "${stopped.id} did not end after SIGTERM")
        fleet.unlist(stopped)
        progress(load)
    }

    private suspend fun progress(load: RigLoad) {
        val target = load.whole.get() + ANSWERS_BETWEEN_EVENTS
        ProcessFleet.awaitTrue { load.whole.get() >= target }
    }

    private companion object {
        const val INSTANCES = 3
        const val CALLERS = 8
        const val ANSWERS_BETWEEN_EVENTS = 30
        val ROUNDS = Integer.getInteger("nutmegspring.rig.rounds", 1)
    }
}
