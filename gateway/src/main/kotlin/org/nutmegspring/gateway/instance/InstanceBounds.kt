package org.nutmegspring.gateway.instance

import org.nutmegspring.gateway.forwarding.AdmissionBounds
import org.nutmegspring.gateway.forwarding.RetryBounds
import org.nutmegspring.gateway.settings.BoundSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Returns the bounds for admission, shortened by the time that the onward path takes. */
internal fun BoundSettings.toAdmissionBounds() = AdmissionBounds(
    maximumEvidenceAge = revocationMilliseconds?.takeIf {
        strictRevocation == true
    }?.milliseconds?.times(EVIDENCE_SHARE),
    maximumPropagationDelay = configurationMilliseconds.milliseconds * PROPAGATION_SHARE,
)

/** Returns the bounds for retries, null when the deployment has none. */
internal fun BoundSettings.toRetryBounds(): RetryBounds? {
    val window = retryWindowSeconds?.seconds ?: return null
    return RetryBounds(retryRatio ?: return null, retryExtra ?: 0.0, window)
}

/** Returns the window in which quotas are enforced, null when the deployment has none. */
internal fun BoundSettings.toQuotaWindow(): Duration? = quotaWindowSeconds?.seconds

/** Share of the revocation time up to which the evidence may age; the rest covers the onward path. */
private const val EVIDENCE_SHARE = 0.9

/**
 * Share of the configuration time. An unknown key or route is refused permanently only while the evidence is younger
 * than this.
 */
private const val PROPAGATION_SHARE = 0.9
