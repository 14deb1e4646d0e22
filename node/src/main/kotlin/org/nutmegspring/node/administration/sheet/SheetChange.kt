package org.nutmegspring.node.administration.sheet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.nutmegspring.configuration.ChainState
import org.nutmegspring.configuration.ConfigurationEdit
import org.nutmegspring.configuration.ConfigurationPart
import org.nutmegspring.configuration.Organisation
import org.nutmegspring.configuration.PartProblem
import org.nutmegspring.configuration.PartValue
import org.nutmegspring.configuration.Precondition
import org.nutmegspring.configuration.ProposedEdit
import org.nutmegspring.configuration.TokenRate
import org.nutmegspring.configuration.findProblems
import org.nutmegspring.node.administration.SheetDifference

/** The changes of a sheet. Each edit requires that its part has not changed since the sheet was compared. */
internal data class SheetChange(
    val edits: List<ProposedEdit>,
    val differences: List<SheetDifference>,
)

/** Compares [sheet] with [state]. Returns the changes, or all problems of the sheet, sorted by line. */
internal fun computeSheetChange(state: ChainState, sheet: ParsedSheet): Either<List<SheetProblem>, SheetChange> {
    val problems = ArrayList(sheet.problems)
    val edits = ArrayList<ProposedEdit>()
    val differences = ArrayList<SheetDifference>()
    sheet.rows.forEach { row ->
        val record = state.records[ConfigurationPart.OrganisationPart(row.organisation)]
        val before = (record?.value as? PartValue.OrganisationValue)?.organisation
        if (before == null) problems += findMissingFields(row)
        val after = mergeRow(before, row)
        val value = PartValue.OrganisationValue(after)
        problems += findProblems(value).map { SheetProblem(row.line, findColumn(it), it.message) }
        if (after != before) {
            val precondition = record?.let { Precondition.LastChangedAt(it.lastChange.revision) } ?: Precondition.Absent
            edits += ProposedEdit(ConfigurationEdit.Put(value), precondition)
            differences += computeDifferences(before, after)
        }
    }
    return if (problems.isEmpty()) {
        SheetChange(edits, differences).right()
    } else {
        problems.distinctBy {
            it.line to
                it.column
        }.sortedBy { it.line }.left()
    }
}

private fun mergeRow(before: Organisation?, row: SheetRow): Organisation {
    val base = before ?: Organisation(row.organisation, row.organisation.value, TokenRate(0, 0))
    return base.copy(
        name = row.name ?: base.name,
        rate = TokenRate(
            row.tokensPerSecond ?: base.rate.tokensPerSecond,
            row.burstTokens ?: base.rate.burstTokens,
        ),
        weight = row.weight ?: base.weight,
        budgetPerDay = row.budget ?: base.budgetPerDay,
        venues = row.venues ?: base.venues,
        crew = row.crew ?: base.crew,
    )
}

private fun findMissingFields(row: SheetRow): List<SheetProblem> = listOf(
    SheetColumn.TOKENS_PER_SECOND to row.tokensPerSecond,
    SheetColumn.BURST_TOKENS to row.burstTokens,
).filter { it.second == null }.map { (column, _) ->
    SheetProblem(row.line, column.title, "is required because '${row.organisation}' is a new organisation")
}

private fun findColumn(problem: PartProblem): String = when (problem.field) {
    "id" -> SheetColumn.ORGANISATION
    "rate.tokensPerSecond" -> SheetColumn.TOKENS_PER_SECOND
    "rate.burstTokens" -> SheetColumn.BURST_TOKENS
    "budgetPerDay" -> SheetColumn.BUDGET
    "weight" -> SheetColumn.WEIGHT
    "crew" -> SheetColumn.CREW
    else -> SheetColumn.NAME
}.title

private fun computeDifferences(before: Organisation?, after: Organisation): List<SheetDifference> {
    val previousFields = before?.let(::listFields).orEmpty()
    return listFields(after).filter { (field, value) -> previousFields[field] != value }
        .map { (field, value) -> SheetDifference(after.id, field, previousFields[field], value) }
}

private fun listFields(organisation: Organisation): Map<String, String> = buildMap {
    put(SheetColumn.NAME.title, organisation.name)
    put(SheetColumn.CREW.title, organisation.crew.toString())
    put(SheetColumn.VENUES.title, organisation.venues.sorted().joinToString(";"))
    organisation.budgetPerDay?.let { put(SheetColumn.BUDGET.title, it.toString()) }
    put(SheetColumn.TOKENS_PER_SECOND.title, organisation.rate.tokensPerSecond.toString())
    put(SheetColumn.BURST_TOKENS.title, organisation.rate.burstTokens.toString())
    put(SheetColumn.WEIGHT.title, organisation.weight.toString())
}
