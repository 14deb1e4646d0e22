package org.nutmegspring.lease

import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.platform.ObjectKey

/** A part of the control work that at most one instance carries out at a time. */
sealed interface Duty {
    /** The key of the object that holds the lease of this duty. */
    val key: ObjectKey

    /** Orders to the engines of [dataCentre]. An engine stays in its data centre, so it has one duty for life. */
    data class EngineOrders(val dataCentre: DataCentreId) : Duty {
        override val key: ObjectKey get() = dutyKey("engines", dataCentre.value)
    }

    /** Orders of endpoints for the pools of [dataCentre]. */
    data class EndpointOrders(val dataCentre: DataCentreId) : Duty {
        override val key: ObjectKey get() = dutyKey("pools", dataCentre.value)
    }

    /** Closing and reporting the usage windows of the organisations of [shard]. */
    data class UsageWindows(val shard: Int) : Duty {
        override val key: ObjectKey get() = dutyKey("usage", shard.toString())
    }
}

private fun dutyKey(kind: String, name: String): ObjectKey = ObjectKey("duties/$kind/${keySegment(name)}")

/** Returns [name] as a segment of an object key. Characters that a key may not hold are escaped by their code. */
fun keySegment(name: String): String = buildString {
    for (character in name) {
        val plain = character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character in "-."
        if (plain) append(character) else append('_').append(character.code).append('_')
    }
}
