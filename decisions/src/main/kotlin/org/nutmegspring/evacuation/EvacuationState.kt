package org.nutmegspring.evacuation

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.platform.StoreEra
import org.nutmegspring.time.AgeClock
import org.nutmegspring.time.MonotonicTime
import kotlin.time.Duration

/** On what an evacuation that is in force rests. */
enum class EvacuationEvidence {
    /** The store shows it in its present era. */
    SHOWN,

    /** An earlier era showed it, and the present one has not shown its absence for long enough. */
    EARLIER_ERA,
}

/** The evacuation of [dataCentre], with the [age] of the answer of the store that last confirmed [evidence]. */
data class Evacuation(
    val dataCentre: DataCentreId,
    val evidence: EvacuationEvidence,
    val age: Duration,
)

/** How the evacuation of a data centre changed. */
enum class EvacuationChangeKind {
    /** It is in force. */
    BEGUN,

    /** An operator has withdrawn it. */
    WITHDRAWN,

    /** The store has returned from a copy without it; it stays in force. */
    KEPT,

    /** The new era of the store has shown its absence for long enough; it is no longer in force. */
    EXPIRED,
}

/** A change of the evacuation of [dataCentre], with the [age] of the answer of the store that showed it. */
data class EvacuationChange(
    val dataCentre: DataCentreId,
    val kind: EvacuationChangeKind,
    val age: Duration,
)

/**
 * States which data centres are evacuated, from what the store shows.
 *
 * Only answers of the store change the state: it stays in force while the store is down or the instance is
 * disconnected. An absence withdraws an evacuation that was shown in the same era. A copy from which the store has
 * returned may be older than the evacuation, so that an absence in another era has to last for [retention], in which an
 * operator can order the evacuation again. Before the first listing no data centre may get requests, because any may be
 * evacuated.
 *
 * @property retention how long another era of the store has to show the absence of an evacuation
 */
class EvacuationState(val retention: Duration) {
    /** [shownIn] is the era that last showed the evacuation; [absentSince] when a later era first did not show it. */
    private class Known(var shownIn: StoreEra, var absentSince: MonotonicTime? = null)

    private val known = LinkedHashMap<DataCentreId, Known>()
    private var era = StoreEra.FIRST
    private var provenAt: MonotonicTime? = null

    /** Whether the store has listed the evacuations once. */
    val isListed: Boolean get() = provenAt != null

    /** Whether endpoints in [dataCentre] may get requests. */
    fun permits(dataCentre: DataCentreId): Boolean = isListed && dataCentre !in known

    /** Returns the evacuations in force. */
    fun inForce(ages: AgeClock): List<Evacuation> = known.map { (dataCentre, evacuation) ->
        val evidence =
            if (evacuation.absentSince == null) EvacuationEvidence.SHOWN else EvacuationEvidence.EARLIER_ERA
        Evacuation(dataCentre, evidence, evidenceAge(ages) ?: Duration.ZERO)
    }

    /** Returns the age of the newest answer of the store, or null before the first listing. */
    fun evidenceAge(ages: AgeClock): Duration? = provenAt?.let(ages::ageOf)

    /** Applies a listing of [shown] in [listedEra], by a call that began at [callStartedAt]. */
    fun applyListing(
        shown: Set<DataCentreId>,
        listedEra: StoreEra,
        callStartedAt: MonotonicTime,
        ages: AgeClock,
    ): List<EvacuationChange> {
        if (listedEra != era) known.values.forEach { it.absentSince = null }
        era = listedEra
        val changes = shown.flatMap { applyCreation(it, callStartedAt, ages) } +
            (known.keys - shown).mapNotNull { applyAbsence(it, callStartedAt, ages) }
        return changes + confirm(callStartedAt, ages)
    }

    /** Applies that the object of [dataCentre] was created or written again, as an answer showed. */
    fun applyCreation(
        dataCentre: DataCentreId,
        callStartedAt: MonotonicTime,
        ages: AgeClock,
    ): List<EvacuationChange> {
        val evacuation = known[dataCentre]
        if (evacuation == null) {
            known[dataCentre] = Known(era)
            return listOf(EvacuationChange(dataCentre, EvacuationChangeKind.BEGUN, ages.ageOf(callStartedAt)))
        }
        evacuation.shownIn = era
        evacuation.absentSince = null
        return emptyList()
    }

    /** Applies that the object of [dataCentre] was deleted, as an answer showed. A deletion is an operator's act. */
    fun applyDeletion(
        dataCentre: DataCentreId,
        callStartedAt: MonotonicTime,
        ages: AgeClock,
    ): List<EvacuationChange> {
        known.remove(dataCentre) ?: return emptyList()
        return listOf(EvacuationChange(dataCentre, EvacuationChangeKind.WITHDRAWN, ages.ageOf(callStartedAt)))
    }

    /** Records that all changes that the store had accepted by [callStartedAt] were applied. */
    fun confirm(callStartedAt: MonotonicTime, ages: AgeClock): List<EvacuationChange> {
        val proven = maxOf(provenAt ?: callStartedAt, callStartedAt)
        provenAt = proven
        val expired = known.filterValues { it.absentSince?.let { since -> proven - since >= retention } ?: false }.keys
        return expired.toList().map {
            known.remove(it)
            EvacuationChange(it, EvacuationChangeKind.EXPIRED, ages.ageOf(proven))
        }
    }

    private fun applyAbsence(
        dataCentre: DataCentreId,
        callStartedAt: MonotonicTime,
        ages: AgeClock,
    ): EvacuationChange? {
        val evacuation = known.getValue(dataCentre)
        if (evacuation.shownIn == era) return applyDeletion(dataCentre, callStartedAt, ages).single()
        if (evacuation.absentSince != null) return null
        evacuation.absentSince = callStartedAt
        return EvacuationChange(dataCentre, EvacuationChangeKind.KEPT, ages.ageOf(callStartedAt))
    }
}
