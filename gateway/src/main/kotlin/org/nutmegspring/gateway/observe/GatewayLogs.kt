package org.nutmegspring.gateway.observe

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.OutputStreamAppender
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.io.OutputStream

/** Configures the process to write its logs as JSON to standard output without blocking on a slow reader. */
fun configureGatewayLogs() {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.detachAndStopAllAppenders()
    root.addAppender(createBoundedAppender(context, System.out))
    root.level = Level.INFO
    context.getLogger("io.netty").level = Level.WARN
}

/**
 * Returns an appender that writes lines as JSON to [output].
 *
 * Lines wait in a bounded queue and are dropped when it is full, so that a reader that stops never blocks a request.
 */
internal fun createBoundedAppender(context: LoggerContext, output: OutputStream): AsyncAppender {
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
    val writer = OutputStreamAppender<ILoggingEvent>().apply {
        this.context = context
        encoder = jsonEncoder
        outputStream = output
        start()
    }
    return AsyncAppender().apply {
        this.context = context
        queueSize = QUEUED_LINES
        isNeverBlock = true
        discardingThreshold = 0
        addAppender(writer)
        start()
    }
}

/** Holds a few seconds of lines at the usual rate. */
private const val QUEUED_LINES = 1024
