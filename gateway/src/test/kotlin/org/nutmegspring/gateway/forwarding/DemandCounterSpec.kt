package org.nutmegspring.gateway.forwarding

import org.nutmegspring.endpoint.EngineRole
import org.nutmegspring.gateway.configurationOf
import org.nutmegspring.gateway.desk
import org.nutmegspring.gateway.routeOf
import org.nutmegspring.gateway.wire.PromptFacts
import org.nutmegspring.gateway.wire.RequestFacts
import org.nutmegspring.identity.DataCentreId
import org.nutmegspring.identity.EndpointId
import org.nutmegspring.identity.RequestId
import org.nutmegspring.identity.ServiceId
import org.nutmegspring.placement.EngineCandidate
import org.nutmegspring.placement.EnginePlan
import org.nutmegspring.spending.DemandCounts
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a demand that leaves out refused work, or counts what engines have cached. */
class DemandCounterSpec {
    private val counter = DemandCounter()

    private fun request(prompt: PromptFacts? = PromptFacts("m", 1_000, 20, emptyList())) =
        AdmittedRequest(
            RequestFacts(RequestId("r"), null, null, prompt, null),
            configurationOf(),
            routeOf("r", "/"),
            desk,
            null,
        )

    private fun plan(cachedTokens: Int): EnginePlan {
        val engine =
            EngineCandidate(EndpointId("e"), EngineRole.MIXED, DataCentreId("rennes"), 0, cachedTokens, 0, slots = 64)
        return EnginePlan.Direct(engine, waitMilliseconds = 0.0, expectedFirstOutputMilliseconds = 10.0)
    }

    @Test
    fun `tokens that the chosen engine has cached are no demand`() {
        counter.record(request(), plan(cachedTokens = 900), isRefused = false)
        counter.record(request(), plan(cachedTokens = 1_200), isRefused = false)
        assertEquals(DemandCounts(promptTokens = 100, outputMilliseconds = 400), counter.find(desk))
    }

    @Test
    fun `a refused request is demand, with its whole prompt when there is no engine`() {
        counter.record(request(), plan(cachedTokens = 900), isRefused = true)
        counter.record(request(), null, isRefused = true)
        val expected = DemandCounts(promptTokens = 1_100, outputMilliseconds = 400, refusedTokens = 1_100)
        assertEquals(expected, counter.find(desk))
    }

    @Test
    fun `requests without a prompt and other services have none`() {
        counter.record(request(prompt = null), null, isRefused = true)
        assertEquals(DemandCounts(), counter.find(desk))
        assertEquals(DemandCounts(), counter.find(ServiceId("other")))
    }
}
