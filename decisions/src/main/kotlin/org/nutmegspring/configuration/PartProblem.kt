package org.nutmegspring.configuration

/** A validation error in the field [field] of a part. */
data class PartProblem(
    val field: String,
    val message: String,
)

/** Validates [value] without regard to other parts and returns the problems found. */
fun findProblems(value: PartValue): List<PartProblem> = when (value) {
    is PartValue.OrganisationValue -> checkOrganisation(value.organisation)
    is PartValue.KeyValue -> checkId("id", value.key.id.value)
    is PartValue.ServiceValue -> checkService(value.service)
    is PartValue.PlanValue -> checkPlan(value.plan)
    is PartValue.EndpointValue -> checkId("id", value.endpoint.id.value)
}

private val ID_PATTERN = Regex("[A-Za-z0-9._-]{1,64}")
private val METHOD_PATTERN = Regex("[A-Z]{1,16}")
private const val MAXIMUM_NAME_LENGTH = 200
private const val MAXIMUM_WEIGHT = 1_000

private fun checkOrganisation(organisation: Organisation): List<PartProblem> =
    checkId("id", organisation.id.value) + listOfNotNull(
        problemUnless(organisation.name.length in 1..MAXIMUM_NAME_LENGTH, "name") {
            "must have 1 to $MAXIMUM_NAME_LENGTH characters"
        },
        problemUnless(organisation.rate.tokensPerSecond >= 0, "rate.tokensPerSecond") { "must not be negative" },
        problemUnless(organisation.rate.burstTokens >= 0, "rate.burstTokens") { "must not be negative" },
        problemUnless(organisation.weight in 1..MAXIMUM_WEIGHT, "weight") { "must be from 1 to $MAXIMUM_WEIGHT" },
        problemUnless((organisation.budgetPerDay ?: 0) >= 0, "budgetPerDay") { "must not be negative" },
        problemUnless(organisation.crew >= 0, "crew") { "must not be negative" },
    )

private fun checkService(service: Service): List<PartProblem> {
    val patterns = service.notRepeatable.flatMapIndexed { index, pattern ->
        val field = "notRepeatable[$index]"
        listOfNotNull(
            problemUnless(METHOD_PATTERN.matches(pattern.method), "$field.method") { "must be an HTTP method" },
            problemUnless(pattern.pathPrefix.startsWith("/"), "$field.pathPrefix") { "must start with '/'" },
        )
    }
    val tokens = problemUnless(service.tokensPerCall >= 0, "tokensPerCall") { "must not be negative" }
    return checkId("id", service.id.value) + patterns + listOfNotNull(tokens)
}

private fun checkPlan(plan: DataCentrePlan): List<PartProblem> {
    val bounds = mapOf(
        "standardEngines" to plan.standardEngines,
        "reclaimableEngines" to plan.reclaimableEngines,
    ) + plan.services.mapKeys { "services.${it.key}" }
    return checkId("dataCentre", plan.dataCentre.value) +
        bounds.mapNotNull { (field, value) ->
            problemUnless(value.least in 0..value.most, field) { "must have 0 <= least <= most" }
        } +
        listOfNotNull(
            problemUnless((plan.budgetPerDay ?: 0) >= 0, "budgetPerDay") { "must not be negative" },
        )
}

private fun checkId(field: String, id: String): List<PartProblem> = listOfNotNull(
    problemUnless(ID_PATTERN.matches(id), field) { "must be 1 to 64 letters, digits, '-', '_' or '.'" },
)

private fun problemUnless(holds: Boolean, field: String, message: () -> String): PartProblem? =
    if (holds) null else PartProblem(field, message())
