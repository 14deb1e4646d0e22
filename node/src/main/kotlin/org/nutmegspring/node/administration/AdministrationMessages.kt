package org.nutmegspring.node.administration

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.nutmegspring.configuration.OperatorName
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.InstanceId
import org.nutmegspring.identity.KeyId
import org.nutmegspring.identity.OrganisationId
import org.nutmegspring.identity.Revision
import org.nutmegspring.membership.InstancePhase

/**
 * The answer to a change, and to a question about a revision.
 *
 * @property accepted whether the change can no longer be lost or stay unnoticed; false means that it is stored but not
 * yet held by enough instances
 * @property inForce whether every instance applies it or has stopped admitting requests
 * @property lagging the instances that are not known to apply it
 */
@Serializable
data class RevisionAnswer(
    val revision: Revision,
    val accepted: Boolean,
    val inForce: Boolean,
    val lagging: List<InstanceId>,
)

/** One part of the configuration with its last change. */
@Serializable
data class PartAnswer(
    val value: JsonElement,
    val lastChangedAt: Revision,
    val lastChangedBy: OperatorName,
)

/** The parts of one kind, in the order of their ids, at [revision]. */
@Serializable
data class PartListAnswer(
    val revision: Revision,
    val items: List<PartAnswer>,
)

/** A key without its hash. */
@Serializable
data class KeyDescription(
    val id: KeyId,
    val organisation: OrganisationId,
    val expiresAtEpochSeconds: Long? = null,
)

/** Asks for a new key of [organisation]. */
@Serializable
data class KeyGrantRequest(
    val organisation: OrganisationId,
    val expiresAtEpochSeconds: Long? = null,
)

/** A new key. Its [secret] is shown only here. */
@Serializable
data class KeyGrantAnswer(
    val key: KeyDescription,
    val secret: String,
    val change: RevisionAnswer,
)

/** An instance as the answering instance knows it. [evidenceAgeMilliseconds] is null for one that is only listed. */
@Serializable
data class InstanceDescription(
    val id: InstanceId,
    val dataCentre: DataCentreId?,
    val callerAddress: String?,
    val phase: InstancePhase?,
    val revision: Revision?,
    val listed: Boolean,
    val evidenceAgeMilliseconds: Long?,
)

/** The instances, in the order of their ids. */
@Serializable
data class InstanceListAnswer(val items: List<InstanceDescription>)

/** What a sheet changes in one field of an organisation. */
@Serializable
data class SheetDifference(
    val organisation: OrganisationId,
    val field: String,
    val before: String?,
    val after: String,
)

/** The answer to a sheet. [change] is null for a trial and when nothing differs. */
@Serializable
data class SheetAnswer(
    val differences: List<SheetDifference>,
    val change: RevisionAnswer? = null,
)

/** The body of an error of the administration API. */
@Serializable
data class AdministrationErrorBody(val error: AdministrationErrorDetail)

/**
 * An error of the administration API.
 *
 * @property code a stable name of the error
 * @property outcome `not_run` or `unknown`
 * @property part the part that the error is about
 * @property current the part as it stands when another change came first; null when it does not exist
 */
@Serializable
data class AdministrationErrorDetail(
    val code: String,
    val message: String,
    val outcome: String = "not_run",
    val part: String? = null,
    val current: PartAnswer? = null,
    val problems: List<FieldProblem> = emptyList(),
)

/** What is wrong with a field. [line] and [field] are the line and the column when the input is a sheet. */
@Serializable
data class FieldProblem(
    val field: String,
    val message: String,
    val line: Long? = null,
)
