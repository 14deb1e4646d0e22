package org.nutmegspring.gateway.observe

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Makes the process write its logs as JSON to standard output.
 *
 * Lines wait in a bounded queue and are dropped when it is full, so that a reader that stops never blocks a request.
 */
fun configureGatewayLogs() {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    val jsonEncoder = JsonEncoder().apply {
        this.context = context
        setWithSequenceNumber(false)
        setWithNanoseconds(false)
        setWithThreadName(false)
        setWithContext(false)
        setWithMDC(false)
        setWithArguments(false)
        setWithMessage(false)
        setWithFormattedMessage(true)
        start()
    }
    val console = ConsoleAppender<ILoggingEvent>().apply {
        this.context = context
        encoder = jsonEncoder
        start()
    }
    val queue = AsyncAppender().apply {
        this.context = context
        queueSize = QUEUED_LINES
        isNeverBlock = true
        discardingThreshold = 0
        addAppender(console)
        start()
    }
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.detachAndStopAllAppenders()
    root.addAppender(queue)
    root.level = Level.INFO
    context.getLogger("io.netty").level = Level.WARN
}

/** Some seconds of lines at the usual rate. */
private const val QUEUED_LINES = 1024
