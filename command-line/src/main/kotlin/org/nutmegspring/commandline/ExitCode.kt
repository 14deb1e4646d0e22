package org.nutmegspring.commandline

/** How a command ended. */
enum class ExitCode(val code: Int) {
    /** It did what it was asked to. */
    SUCCESS(0),

    /** It failed. */
    FAILURE(1),

    /** It was called wrongly, or a settings file is wrong. */
    USAGE(2),

    /** A measure ran and did not meet a goal. */
    GOAL_MISSED(3),
}
