package org.nutmegspring.failure

import kotlin.time.Duration

/** The step of a request or of a control action at which a failure arose. */
public enum class Step {
    /** Reading the caller's request. */
    READ_REQUEST,

    /** Finding the organisation of a key. */
    AUTHENTICATE,

    /** Charging the request to its organisation's rate. */
    CHARGE,

    /** Claiming a request that may run at most once. */
    CLAIM,

    /** Choosing an endpoint. */
    CHOOSE_ENDPOINT,

    /** Opening a connection. */
    CONNECT,

    /** Sending a request. */
    SEND,

    /** Waiting for and reading an answer. */
    READ_ANSWER,

    /** Reading from the platform's object store. */
    READ_OBJECT,

    /** Writing to the platform's object store. */
    WRITE_OBJECT,

    /** Taking or renewing a lease. */
    LEASE,

    /** Sending an order to an engine or to the platform. */
    ORDER,

    /** Reporting usage. */
    REPORT_USAGE,

    /** Exchanging messages with another instance. */
    EXCHANGE,

    /** Reading or applying a configuration. */
    CONFIGURE,
}

/** The process with which a step was carried out, for example `engine rennes-3` or `platform`. */
@JvmInline
public value class Peer(public val value: String) {
    override fun toString(): String = value

    /** Holds peers without an id. */
    public companion object {
        /** The platform's service. */
        public val PLATFORM: Peer = Peer("platform")

        /** The process itself. */
        public val SELF: Peer = Peer("self")

        /** The caller of a request. */
        public val CALLER: Peer = Peer("caller")
    }
}

/** What is known of the effect of a failed step. */
public enum class Effect {
    /** The step had no effect, and it will have none. */
    NOT_RUN,

    /** The step may have had its effect, or may still have it. */
    UNKNOWN,
}

/**
 * A failure of [step] with [peer].
 *
 * @property effect whether the step can have had an effect
 * @property retryAfter how long to wait before another try, or null when another try cannot succeed
 */
public data class Failure(
    public val step: Step,
    public val peer: Peer,
    public val effect: Effect,
    public val message: String,
    public val retryAfter: Duration? = null,
) {
    override fun toString(): String = "$step with $peer: $message ($effect)"
}
