package org.nutmegspring.node.administration.sheet

import org.apache.commons.csv.CSVException
import org.apache.commons.csv.CSVFormat
import org.apache.commons.csv.CSVParser
import org.apache.commons.csv.CSVRecord
import org.nutmegspring.identity.OrganisationId
import java.io.IOException

/** A column of a sheet. [title] is its name in the header. */
internal enum class SheetColumn(val title: String) {
    /** The id of the organisation. This is the only mandatory column. */
    ORGANISATION("organisation"),

    /** The name of the organisation. */
    NAME("name"),

    /** The number of people of the organisation who work on the day. */
    CREW("crew"),

    /** The venues of the organisation on the day, separated by semicolons. */
    VENUES("venues"),

    /** The spending limit of the organisation per day, in the platform's currency units. */
    BUDGET("budget"),

    /** The rate limit of the organisation, in tokens per second. */
    TOKENS_PER_SECOND("tokens_per_second"),

    /** The burst limit of the organisation, in tokens. */
    BURST_TOKENS("burst_tokens"),

    /** The weight of the organisation under overload. */
    WEIGHT("weight"),
}

/** One row of a sheet. Fields that are empty in the sheet are null and keep their configured values. */
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

/** A problem in a sheet. [line] counts from 1 and includes the header. [column] is empty for a whole row or sheet. */
internal data class SheetProblem(
    val line: Long,
    val column: String,
    val message: String,
)

/** The parsed rows of a sheet and all problems found while parsing. */
internal data class ParsedSheet(
    val rows: List<SheetRow>,
    val problems: List<SheetProblem>,
)

/** Parses the CSV sheet [text]. */
internal fun parseSheet(text: String): ParsedSheet = try {
    FORMAT.parse(text.reader()).use(::parseRows)
} catch (malformed: CSVException) {
    createUnreadableSheet(malformed)
} catch (malformed: IOException) {
    createUnreadableSheet(malformed)
} catch (malformed: IllegalArgumentException) {
    createUnreadableSheet(malformed)
}

private fun createUnreadableSheet(cause: Exception) =
    ParsedSheet(emptyList(), listOf(SheetProblem(1, "", cause.message.orEmpty())))

private val FORMAT: CSVFormat = CSVFormat.RFC4180.builder()
    .setHeader()
    .setSkipHeaderRecord(true)
    .setIgnoreEmptyLines(true)
    .setTrim(true)
    .get()

private fun parseRows(parser: CSVParser): ParsedSheet {
    val headerProblems = findHeaderProblems(parser.headerNames)
    if (headerProblems.isNotEmpty()) return ParsedSheet(emptyList(), headerProblems)
    val rowParser = RowParser()
    var line = parser.currentLineNumber + 1
    val rows = ArrayList<SheetRow>()
    for (record in parser) {
        rows += rowParser.parse(record, line)
        line = parser.currentLineNumber + 1
    }
    return ParsedSheet(rows, rowParser.problems)
}

private fun findHeaderProblems(header: List<String>): List<SheetProblem> {
    val known = SheetColumn.entries.map { it.title }
    val unknown = header.filter { it !in known }.map { SheetProblem(1, it, "is not a known column") }
    val key = SheetColumn.ORGANISATION.title
    return if (key in header) unknown else unknown + SheetProblem(1, key, "is missing")
}

private class RowParser {
    val problems = ArrayList<SheetProblem>()
    private val lineByOrganisation = HashMap<String, Long>()

    fun parse(record: CSVRecord, line: Long): SheetRow {
        if (!record.isConsistent) {
            problems +=
                SheetProblem(line, "", "has ${record.size()} fields, a different number than the header")
        }
        return SheetRow(
            line,
            OrganisationId(parseOrganisation(record, line)),
            findText(record, SheetColumn.NAME),
            parseNumber(record, line, SheetColumn.CREW, Int.MAX_VALUE.toLong())?.toInt(),
            findText(record, SheetColumn.VENUES)?.split(';')?.map { it.trim() }?.filter { it.isNotEmpty() }?.toSet(),
            parseNumber(record, line, SheetColumn.BUDGET),
            parseNumber(record, line, SheetColumn.TOKENS_PER_SECOND),
            parseNumber(record, line, SheetColumn.BURST_TOKENS),
            parseNumber(record, line, SheetColumn.WEIGHT, Int.MAX_VALUE.toLong())?.toInt(),
        )
    }

    private fun parseOrganisation(record: CSVRecord, line: Long): String {
        val title = SheetColumn.ORGANISATION.title
        val id = findText(record, SheetColumn.ORGANISATION).orEmpty()
        if (id.isEmpty()) problems += SheetProblem(line, title, "is empty")
        val earlierLine = lineByOrganisation.putIfAbsent(id, line)
        if (id.isNotEmpty() && earlierLine != null) {
            problems += SheetProblem(line, title, "'$id' is already in line $earlierLine")
        }
        return id
    }

    private fun parseNumber(
        record: CSVRecord,
        line: Long,
        column: SheetColumn,
        maximum: Long = Long.MAX_VALUE,
    ): Long? {
        val text = findText(record, column) ?: return null
        val value = text.toLongOrNull()?.takeIf { it in 0..maximum }
        if (value == null) {
            problems += SheetProblem(line, column.title, "'$text' is not a whole number from 0 to $maximum")
        }
        return value
    }

    private fun findText(record: CSVRecord, column: SheetColumn): String? =
        if (record.isSet(column.title)) record.get(column.title).ifEmpty { null } else null
}
