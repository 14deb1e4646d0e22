package org.nutmegspring.failure

import kotlin.time.Duration

/** The step of a request or of a control action that failed. */
public enum class Step {
    /** Reading the caller's request. */
    READ_REQUEST,

    /** Looking up the organisation that an API key belongs to. */
    AUTHENTICATE,

    /** Charging the request against its organisation's rate limit. */
    CHARGE,

    /** Claiming the exclusive right to run a request that must run at most once. */
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

    /** Acquiring or renewing a lease. */
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

/** The other party of a step, for example `engine rennes-3` or `platform`. */
@JvmInline
public value class Peer(public val value: String) {
    override fun toString(): String = value

    /** Predefined peers, which have no id. */
    public companion object {
        /** The platform. */
        public val PLATFORM: Peer = Peer("platform")

        /** The current process. */
        public val SELF: Peer = Peer("self")

        /** The caller of a request. */
        public val CALLER: Peer = Peer("caller")
    }
}

/** Whether a failed step can have had an effect. */
public enum class Effect {
    /** The step had no effect and will not have one later. */
    NOT_RUN,

    /** The step may have taken effect or may still do so. */
    UNKNOWN,
}

/**
 * A failure of [step] with [peer].
 *
 * @property effect whether the step may have taken effect
 * @property retryAfter how long to wait before a retry, or null if a retry cannot succeed
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
