package org.nutmegspring.lease

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.platform.ObjectKey
import org.nutmegspring.platform.StoreEra

/** A control task that at most one instance performs at a time, under a lease. */
sealed interface Duty {
    /** The key of the lease object of this duty, in the first era. */
    val key: ObjectKey

    /**
     * Returns the key of the lease object in [era]. Each era has an object of its own, so that a write that was meant
     * for an earlier one cannot replace a lease.
     */
    fun keyIn(era: StoreEra): ObjectKey = if (era == StoreEra.FIRST) key else ObjectKey("${key.value}/era-$era")

    /** Sends orders to the engines of [dataCentre]. An engine never changes data centre, so its duty never changes. */
    data class EngineOrders(val dataCentre: DataCentreId) : Duty {
        override val key: ObjectKey get() = dutyKey("engines", dataCentre.value)
    }

    /** Orders endpoints for the pools of [dataCentre]. */
    data class EndpointOrders(val dataCentre: DataCentreId) : Duty {
        override val key: ObjectKey get() = dutyKey("pools", dataCentre.value)
    }

    /** Closes and reports the usage windows of the organisations in [shard]. */
    data class UsageWindows(val shard: Int) : Duty {
        override val key: ObjectKey get() = dutyKey("usage", shard.toString())
    }
}

private fun dutyKey(kind: String, name: String): ObjectKey = ObjectKey("duties/$kind/${escapeKeySegment(name)}")

/** Returns [name] as a segment of an object key. A character that a key must not contain becomes `_code_`. */
fun escapeKeySegment(name: String): String = buildString {
    for (character in name) {
        val plain = character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character in "-."
        if (plain) append(character) else append('_').append(character.code).append('_')
    }
}
