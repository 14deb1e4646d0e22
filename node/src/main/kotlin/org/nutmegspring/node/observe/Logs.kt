package org.nutmegspring.node.observe

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import net.logstash.logback.encoder.LogstashEncoder
import org.nutmegspring.node.settings.LogFormat
import org.nutmegspring.node.settings.LogLevel
import org.nutmegspring.node.settings.LogSettings
import org.slf4j.Logger
import org.slf4j.LoggerFactory

private const val TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg %kvp%n"

/**
 * Configures the process to log to standard error with the format and level of [settings]. Ktor logs only warnings and
 * errors.
 */
fun configureLogs(settings: LogSettings) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    val appender = ConsoleAppender<ILoggingEvent>().apply {
        this.context = context
        target = "System.err"
        encoder = createEncoder(context, settings.format)
        start()
    }
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.detachAndStopAllAppenders()
    root.addAppender(appender)
    root.level = toLogbackLevel(settings.level)
    context.getLogger("io.ktor").level = Level.WARN
}

private fun createEncoder(context: LoggerContext, format: LogFormat): Encoder<ILoggingEvent> = when (format) {
    LogFormat.TEXT -> PatternLayoutEncoder().apply {
        this.context = context
        pattern = TEXT_PATTERN
        start()
    }

    LogFormat.JSON -> LogstashEncoder().apply {
        this.context = context
        start()
    }
}

private fun toLogbackLevel(level: LogLevel): Level = when (level) {
    LogLevel.ERROR -> Level.ERROR
    LogLevel.WARN -> Level.WARN
    LogLevel.INFO -> Level.INFO
    LogLevel.DEBUG -> Level.DEBUG
}
