package org.nutmegspring.invariant

/**
 * A property that must hold in every run, in production and under every fault.
 *
 * The comment of each constant names the area that it belongs to.
 *
 * @property statement the property in words, as reported with a violation
 */
enum class Invariant(val statement: String) {
    /** Area: orders to engines. */
    NO_CONFLICTING_ORDERS("an engine accepts no conflicting orders"),

    /** Area: leases. */
    ONE_HOLDER("a duty has at most one holder at a time"),

    /** Area: leases and endpoints. */
    NO_EFFECT_FROM_STALE_HOLDER("an order of a process that lost its lease has no effect"),

    /** Area: endpoint orders. */
    ONE_ORDERER("the platform accepts orders of endpoints from one holder at a time"),

    /** Area: endpoint orders. */
    ORDERED_ONCE("a decision about endpoints is ordered at most once"),

    /** Area: usage windows. */
    ONE_FIGURE_PER_WINDOW("a usage window has one set of figures"),

    /** Area: usage windows. */
    ONE_REPORTER("a usage window is reported by one holder at a time"),

    /** Area: usage. */
    USAGE_COUNTED_ONCE("usage is included in at most one window, in the amount counted"),

    /** Area: usage. */
    USAGE_COMPLETE("usage of a running instance is eventually included in a window"),

    /** Area: rate limits. */
    RATE_CEILING("an organisation receives at most its rate and burst over all instances"),

    /** Area: answers to callers. */
    OWN_ANSWER("a caller receives the answer to its own request"),

    /** Area: answers to callers. */
    WHOLE_ANSWER("a caller receives its whole answer or is told that it ended early"),

    /** Area: requests that are not idempotent. */
    AT_MOST_ONCE("a request that is not idempotent runs at most once"),

    /** Area: refusals. */
    TRUE_NOT_RUN("a request refused as not run never runs"),

    /** Area: planned changes. */
    NO_CUT_BY_PLANNED_CHANGE("a planned change interrupts no request"),

    /** Area: departing endpoints. */
    NO_WORK_FOR_DEPARTING("a departing endpoint receives no new work after the bound"),

    /** Area: configuration. */
    MONOTONIC_REVISION("an instance never applies a lower revision"),

    /** Area: configuration. */
    ACCEPTED_CHANGE_STAYS("an accepted change is applied wherever requests are admitted after the bound"),

    /** Area: configuration. */
    NO_LOST_UPDATE("a change based on an outdated read is refused"),

    /** Area: keys. */
    REVOKED_KEY_STOPS("a revoked key admits nothing after the bound"),

    /** Area: keys. */
    KEY_MATCHES_ORGANISATION("a request runs only for the organisation of its key"),
}
