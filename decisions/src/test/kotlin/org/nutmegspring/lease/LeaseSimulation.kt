package org.nutmegspring.lease

import org.nutmegspring.identity.FencingToken
import org.nutmegspring.identity.Incarnation
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.ObjectVersion
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.platform.WriteCondition
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicTime
import org.nutmegspring.time.SuspensionAwareAges
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Processes that compete for one lease in a store that returns from older copies, on virtual time in milliseconds.
 *
 * Calls are lost, delayed or not answered; processes pause, are killed and start again; their machines are suspended
 * and their wall clocks step; other writers use up revisions.
 */
internal class LeaseSimulation(seed: Int, private val rules: LeaseRules) {
    /** A call under the lease, as the platform receives it. */
    class Arrival(val holder: LeaseHolder, val fencing: FencingToken)

    /** The calls that have reached the platform, in order. */
    val arrivals = mutableListOf<Arrival>()

    private class Event(val at: Long, val number: Long, val run: () -> Unit)

    private val random = Random(seed)
    private val duty = Duty.UsageWindows(0)
    private val events = PriorityQueue(compareBy<Event>({ it.at }, { it.number }))
    private var eventCount = 0L
    private var now = 0L
    private val store = Store()
    private var processes = List(PROCESSES) { Process(LeaseHolder(InstanceId("p$it"), Incarnation(it.toLong()))) }
    private var nextIncarnation = PROCESSES.toLong()
    private val hasFaults get() = now < FAULTS_END

    /** Runs the simulation. Returns whether a process holds the lease at its end. */
    fun run(): Boolean {
        repeat(PROCESSES) { tick(it) }
        after(random.nextLong(MAXIMUM_FAULT_PAUSE)) { causeFault() }
        while (true) {
            val event = events.poll() ?: break
            if (event.at > END) break
            now = event.at
            event.run()
        }
        return processes.any { it.state.validLease(it.clock(), it.ages) != null }
    }

    private fun after(delay: Long, run: () -> Unit) {
        events += Event(now + delay, eventCount++, run)
    }

    private fun tick(index: Int) {
        processes[index].step()
        after(random.nextLong(20, 80)) { tick(index) }
    }

    private fun causeFault() {
        when (random.nextInt(6)) {
            0 -> store.restore()
            1 -> processes.random(random).pause(random.nextLong(6_000))
            2 -> restart(random.nextInt(PROCESSES))
            3 -> processes.random(random).suspend(random.nextLong(6_000))
            4 -> processes.random(random).stepWallClock(random.nextLong(-4_000, 4_000))
            else -> store.writeElsewhere(random.nextInt(20))
        }
        if (hasFaults) after(random.nextLong(MAXIMUM_FAULT_PAUSE)) { causeFault() }
    }

    private fun restart(index: Int) {
        val holder = LeaseHolder(processes[index].state.self.instance, Incarnation(nextIncarnation++))
        processes = processes.toMutableList().also { it[index] = Process(holder) }
    }

    private class Answer(val era: StoreEra, val found: VersionedLease?)

    private inner class Store {
        private inner class Change(val at: Long, val revision: Long, val key: ObjectKey?, val lease: VersionedLease?)

        private val history = mutableListOf<Change>()
        private var revision = 1L
        private var era = StoreEra(1)
        private var awayUntil = 0L
        val isAway get() = now < awayUntil

        fun restore() {
            val copiedAt = now - random.nextLong(9_000)
            history.removeIf { it.at > copiedAt }
            revision = history.lastOrNull()?.revision ?: 1
            era = StoreEra(era.value + 1)
            awayUntil = now + random.nextLong(2_000)
            writeElsewhere(random.nextInt(30))
        }

        /** Changes [count] objects of no interest, so that revisions are given out again. */
        fun writeElsewhere(count: Int) = repeat(count) { history += Change(now, ++revision, null, null) }

        fun read(key: ObjectKey) = Answer(era, history.lastOrNull { it.key == key }?.lease)

        fun write(key: ObjectKey, write: LeaseWrite): Answer {
            val found = read(key).found
            val holds = when (val condition = write.condition) {
                WriteCondition.Absent -> found == null
                is WriteCondition.AtVersion -> found?.version == condition.version
            }
            if (!holds) return Answer(era, found)
            val lease = VersionedLease(ObjectVersion(++revision), write.record)
            history += Change(now, revision, key, lease)
            return Answer(era, lease)
        }
    }

    private inner class Process(holder: LeaseHolder) {
        var state = LeaseState(holder)
        private var pausedUntil = 0L
        private var knownEra: StoreEra? = null
        private var call = 0L
        private var isCalling = false
        private val offset = random.nextLong(1_000_000)
        private val rate = 1 + random.nextDouble(-1.0, 1.0) * rules.timing.clockRateBound
        private val role = if (random.nextBoolean()) LeaseRole.HOLD else LeaseRole.STAND_BY

        private var suspendedFor = 0L
        private var wallClockOffset = random.nextLong(1_000_000)

        /** Reads the clock, which stands still while the machine is suspended. */
        fun clock(): MonotonicTime = MonotonicTime.ZERO + (offset + (now - suspendedFor) * rate).milliseconds

        val ages: AgeClock = SuspensionAwareAges(::clock, { wallClockOffset + (now * rate).toLong() })

        /** Not while the machine is suspended, since a step back would hide that. */
        fun stepWallClock(milliseconds: Long) {
            if (now >= pausedUntil + STEP_PAUSE) wallClockOffset += milliseconds
        }

        fun pause(duration: Long) {
            pausedUntil = maxOf(pausedUntil, now + duration)
        }

        fun suspend(duration: Long) {
            if (now < pausedUntil) return
            pause(duration)
            suspendedFor += duration
        }

        fun step() {
            if (now < pausedUntil) return
            usePlatform()
            if (isCalling) return
            val era = knownEra ?: return send { store.read(duty.key) }
            if (era != state.era) state = rules.onNewEra(state, era, clock(), ages)
            val key = duty.keyIn(era)
            when (val action = rules.nextAction(state, role, clock(), ages)) {
                LeaseAction.Read -> {
                    send { store.read(key) }
                }

                is LeaseAction.Write -> {
                    state = rules.onSend(state, action.write)
                    send { store.write(key, action.write) }
                }

                is LeaseAction.Wait -> {
                    Unit
                }
            }
        }

        /** Makes a call to the platform that arrives before its timeout, if the lease covers it. */
        private fun usePlatform() {
            val lease = state.validLease(clock(), ages) ?: return
            if (lease.isValidThrough(ages, PLATFORM_TIMEOUT.milliseconds)) {
                after(random.nextLong(PLATFORM_TIMEOUT)) { arrivals += Arrival(state.self, lease.fencing) }
            }
        }

        private fun send(execute: () -> Answer) {
            val number = ++call
            val eraOfCall = knownEra
            isCalling = true
            val isLost = hasFaults && random.nextInt(20) == 0
            val isAnswerLost = hasFaults && random.nextInt(20) == 0
            val delay = if (hasFaults && random.nextInt(30) == 0) random.nextLong(8_000) else random.nextLong(20)
            if (!isLost) {
                after(delay) {
                    if (!store.isAway) {
                        val answer = execute()
                        if (!isAnswerLost) after(random.nextLong(20)) { receive(number, eraOfCall, answer) }
                    }
                }
            }
            after(STORE_TIMEOUT) { if (call == number && isCalling) endCall { rules.onUnanswered(state) } }
        }

        private fun receive(number: Long, eraOfCall: StoreEra?, answer: Answer) {
            if (call != number || !isCalling) return
            if (now < pausedUntil) return after(pausedUntil - now) { receive(number, eraOfCall, answer) }
            val known = knownEra
            if (known == null || answer.era > known) knownEra = answer.era
            val isOfEra = eraOfCall != null && answer.era == eraOfCall && state.era == eraOfCall
            endCall { if (isOfEra) rules.onObserved(state, answer.found, clock()) else rules.onUnanswered(state) }
        }

        private fun endCall(next: () -> LeaseState) {
            isCalling = false
            state = next()
        }
    }

    private companion object {
        const val PROCESSES = 5
        const val MAXIMUM_FAULT_PAUSE = 4_000L
        val FAULTS_END = 100.seconds.inWholeMilliseconds
        val END = 120.seconds.inWholeMilliseconds
        const val STORE_TIMEOUT = 1_000L
        const val STEP_PAUSE = 200L
        const val PLATFORM_TIMEOUT = 800L
    }
}
