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
 * The propagation status of a revision, returned for a change and for a status query.
 *
 * @property accepted whether the change can no longer be lost and no instance can remain unaware of it; if false, it is
 * stored but not known to be held by enough instances
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

/** A part of the configuration, with the revision and the operator of its last change. */
@Serializable
data class PartAnswer(
    val value: JsonElement,
    val lastChangedAt: Revision,
    val lastChangedBy: OperatorName,
)

/** The parts of one kind at [revision], sorted by path. */
@Serializable
data class PartListAnswer(
    val revision: Revision,
    val items: List<PartAnswer>,
)

/** The public fields of a key, without its hash. */
@Serializable
data class KeyDescription(
    val id: KeyId,
    val organisation: OrganisationId,
    val expiresAtEpochSeconds: Long? = null,
)

/** A request to grant a new key to [organisation]. A key without an expiry time is valid until it is revoked. */
@Serializable
data class KeyGrantRequest(
    val organisation: OrganisationId,
    val expiresAtEpochSeconds: Long? = null,
)

/** A newly granted key. This is the only message that contains its [secret]. */
@Serializable
data class KeyGrantAnswer(
    val key: KeyDescription,
    val secret: String,
    val change: RevisionAnswer,
)

/**
 * An instance as known to the instance that answers.
 *
 * For an instance that is only listed by the platform, all fields except [id] and [listed] are null.
 */
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

/** The instances, sorted by id. */
@Serializable
data class InstanceListAnswer(val items: List<InstanceDescription>)

/** The change that a sheet makes to one field of an organisation. [before] is null if the field had no value. */
@Serializable
data class SheetDifference(
    val organisation: OrganisationId,
    val field: String,
    val before: String?,
    val after: String,
)

/** The result of a sheet. [change] is null for a dry run and if the sheet changes nothing. */
@Serializable
data class SheetAnswer(
    val differences: List<SheetDifference>,
    val change: RevisionAnswer? = null,
)

/** The body of an error response of the administration API. */
@Serializable
data class AdministrationErrorBody(val error: AdministrationErrorDetail)

/**
 * The details of an error of the administration API.
 *
 * @property code a stable identifier of the error
 * @property outcome `not_run` if the change was not made, `unknown` if it may have been made
 * @property part the path of the part that the error refers to
 * @property current the current part if the change conflicts with an earlier one; null if the part does not exist
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

/** A problem with a field. For a sheet, [field] is the column and [line] the line number. */
@Serializable
data class FieldProblem(
    val field: String,
    val message: String,
    val line: Long? = null,
)
