package org.nutmegspring.gateway.store

import arrow.core.Either
import org.nutmegspring.platform.StoreFailure
import kotlin.time.Duration

/** One object of a feed. [value] is null when the object can't be read as one of its kind. */
data class FeedEntry<out T>(
    val name: String,
    val value: T?,
)

/** All objects of a kind as they stood at [position], a revision of the store. */
data class Listing<out T>(
    val entries: List<FeedEntry<T>>,
    val position: Long,
)

/** A change of one object. */
sealed interface FeedEvent<out T> {
    /** The object was created or changed. */
    data class Changed<out T>(val entry: FeedEntry<T>) : FeedEvent<T>

    /** The object called [name] is gone. */
    data class Removed(val name: String) : FeedEvent<Nothing>
}

/** What a wait for changes brought. */
sealed interface FeedChanges<out T> {
    /** The changes up to [position], none when nothing changed. */
    data class Events<out T>(val events: List<FeedEvent<T>>, val position: Long) : FeedChanges<T>

    /** The store no longer knows the changes since the given position. Everything has to be listed again. */
    data object HistoryGone : FeedChanges<Nothing>
}

/** The objects of one kind in the platform's store. Each call is paid for, a waiting one once. */
interface StoreFeed<out T> {
    /** Returns all objects, as the store had them at some time during the call. */
    suspend fun list(timeout: Duration): Either<StoreFailure, Listing<T>>

    /** Waits at most [wait] for changes after [position]. */
    suspend fun changes(position: Long, wait: Duration): Either<StoreFailure, FeedChanges<T>>
}
