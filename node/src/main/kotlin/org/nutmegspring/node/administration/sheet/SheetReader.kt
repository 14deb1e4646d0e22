package org.nutmegspring.node.administration.sheet

import org.apache.commons.csv.CSVException
import org.apache.commons.csv.CSVFormat
import org.apache.commons.csv.CSVParser
import org.apache.commons.csv.CSVRecord
import org.nutmegspring.identity.OrganisationId
import java.io.IOException

/** A column of a sheet. */
internal enum class SheetColumn(val title: String) {
    /** The id of the organisation. It is the only column that a sheet must have. */
    ORGANISATION("organisation"),

    /** Its name. */
    NAME("name"),

    /** How many people of it work on the day. */
    CREW("crew"),

    /** Its venues of the day, separated by semicolons. */
    VENUES("venues"),

    /** Its spending limit of the day, in the platform's currency units. */
    BUDGET("budget"),

    /** Its rate in tokens per second. */
    TOKENS_PER_SECOND("tokens_per_second"),

    /** Its burst in tokens. */
    BURST_TOKENS("burst_tokens"),

    /** Its weight under overload. */
    WEIGHT("weight"),
}

/** One row of a sheet. Fields that the sheet leaves empty are null and stay as they are. */
internal data class SheetRow(
    val line: Long,
    val organisation: OrganisationId,
    val name: String?,
    val crew: Int?,
    val venues: Set<String>?,
    val budget: Long?,
    val tokensPerSecond: Long?,
    val burstTokens: Long?,
    val weight: Int?,
)

/** What is wrong in a sheet. [line] counts from 1, the header included. */
internal data class SheetProblem(
    val line: Long,
    val column: String,
    val message: String,
)

/** The rows of a sheet and everything that is wrong with its text. */
internal data class SheetReading(
    val rows: List<SheetRow>,
    val problems: List<SheetProblem>,
)

/** Reads the sheet [text]. */
internal fun readSheet(text: String): SheetReading = try {
    FORMAT.parse(text.reader()).use(::readRows)
} catch (malformed: CSVException) {
    unreadable(malformed)
} catch (malformed: IOException) {
    unreadable(malformed)
} catch (malformed: IllegalArgumentException) {
    unreadable(malformed)
}

private fun unreadable(cause: Exception) =
    SheetReading(emptyList(), listOf(SheetProblem(1, "", cause.message.orEmpty())))

private val FORMAT: CSVFormat = CSVFormat.RFC4180.builder()
    .setHeader()
    .setSkipHeaderRecord(true)
    .setIgnoreEmptyLines(true)
    .setTrim(true)
    .get()

private fun readRows(parser: CSVParser): SheetReading {
    val headerProblems = headerProblems(parser.headerNames)
    if (headerProblems.isNotEmpty()) return SheetReading(emptyList(), headerProblems)
    val reader = RowReader()
    var line = parser.currentLineNumber + 1
    val rows = ArrayList<SheetRow>()
    for (record in parser) {
        rows += reader.read(record, line)
        line = parser.currentLineNumber + 1
    }
    return SheetReading(rows, reader.problems)
}

private fun headerProblems(header: List<String>): List<SheetProblem> {
    val known = SheetColumn.entries.map { it.title }
    val unknown = header.filter { it !in known }.map { SheetProblem(1, it, "is not a column of a sheet") }
    val key = SheetColumn.ORGANISATION.title
    return if (key in header) unknown else unknown + SheetProblem(1, key, "is missing")
}

private class RowReader {
    val problems = ArrayList<SheetProblem>()
    private val lines = HashMap<String, Long>()

    fun read(record: CSVRecord, line: Long): SheetRow {
        if (!record.isConsistent) {
            problems +=
                SheetProblem(line, "", "has ${record.size()} fields instead of the header's")
        }
        return SheetRow(
            line,
            OrganisationId(organisation(record, line)),
            text(record, SheetColumn.NAME),
            number(record, line, SheetColumn.CREW, Int.MAX_VALUE.toLong())?.toInt(),
            text(record, SheetColumn.VENUES)?.split(';')?.map { it.trim() }?.filter { it.isNotEmpty() }?.toSet(),
            number(record, line, SheetColumn.BUDGET),
            number(record, line, SheetColumn.TOKENS_PER_SECOND),
            number(record, line, SheetColumn.BURST_TOKENS),
            number(record, line, SheetColumn.WEIGHT, Int.MAX_VALUE.toLong())?.toInt(),
        )
    }

    private fun organisation(record: CSVRecord, line: Long): String {
        val title = SheetColumn.ORGANISATION.title
        val id = text(record, SheetColumn.ORGANISATION).orEmpty()
        if (id.isEmpty()) problems += SheetProblem(line, title, "is empty")
        val earlier = lines.putIfAbsent(id, line)
        if (id.isNotEmpty() && earlier != null) {
            problems += SheetProblem(line, title, "'$id' stands in line $earlier already")
        }
        return id
    }

    private fun number(
        record: CSVRecord,
        line: Long,
        column: SheetColumn,
        greatest: Long = Long.MAX_VALUE,
    ): Long? {
        val text = text(record, column) ?: return null
        val value = text.toLongOrNull()?.takeIf { it in 0..greatest }
        if (value ==
            null
        ) {
            problems += SheetProblem(line, column.title, "'$text' is not a whole number from 0 to $greatest")
        }
        return value
    }

    private fun text(record: CSVRecord, column: SheetColumn): String? =
        if (record.isSet(column.title)) record.get(column.title).ifEmpty { null } else null
}
