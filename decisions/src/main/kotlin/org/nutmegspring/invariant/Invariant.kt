package org.nutmegspring.invariant

/** A statement that must hold in every run, in production and under every fault. */
enum class Invariant(val statement: String) {
    /** Orders to engines. */
    NO_CONFLICTING_ORDERS("an engine accepts no conflicting orders"),

    /** Leases. */
    ONE_HOLDER("a duty has at most one holder at a time"),

    /** Leases and endpoints. */
    NO_EFFECT_FROM_STALE_HOLDER("an order of a process that lost its lease has no effect"),

    /** Ordering of endpoints. */
    ONE_ORDERER("the platform accepts orders of endpoints from one holder at a time"),

    /** Ordering of endpoints. */
    ORDERED_ONCE("a decision about endpoints is ordered at most once"),

    /** Usage windows. */
    ONE_FIGURE_PER_WINDOW("a usage window has one set of figures"),

    /** Usage windows. */
    ONE_REPORTER("a usage window is reported by one holder at a time"),

    /** Usage. */
    USAGE_COUNTED_ONCE("usage is in at most one window, as it was counted"),

    /** Usage. */
    USAGE_COMPLETE("usage of an instance that runs is in a window in the end"),

    /** Rate limits. */
    RATE_CEILING("an organisation receives at most its rate and burst over all instances"),

    /** Answers. */
    OWN_ANSWER("a caller receives the answer to its own request"),

    /** Answers. */
    WHOLE_ANSWER("a caller receives its whole answer or is told that it ended early"),

    /** Work that may not be repeated. */
    AT_MOST_ONCE("a request that is not idempotent runs at most once"),

    /** Refusals. */
    TRUE_NOT_RUN("a request refused as not run never runs"),

    /** Planned changes. */
    NO_CUT_BY_PLANNED_CHANGE("a planned change cuts no request"),

    /** Departing endpoints. */
    NO_WORK_FOR_DEPARTING("a departing endpoint receives no new work after the bound"),

    /** Configuration. */
    MONOTONIC_REVISION("an instance never applies a lower revision"),

    /** Configuration. */
    ACCEPTED_CHANGE_STAYS("an accepted change is applied wherever requests are admitted after the bound"),

    /** Configuration. */
    NO_LOST_UPDATE("a change based on an outdated reading is refused"),

    /** Keys. */
    REVOKED_KEY_STOPS("a revoked key admits nothing after the bound"),

    /** Keys. */
    KEY_MATCHES_ORGANISATION("a request runs only for the organisation of its key"),
}
