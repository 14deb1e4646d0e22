package org.nutmegspring.commandline

/** Runs the command line. */
public fun main() {
    println("nutmegspring")
}
