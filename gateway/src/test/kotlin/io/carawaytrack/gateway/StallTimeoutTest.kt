/*
 * The time without progress after which an attempt is abandoned, by route and by what is known of the upstream.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogRoute
import io.carawaytrack.fleet.PoolShare
import io.carawaytrack.model.PoolName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class StallTimeoutTest {
    private fun route(
        streaming: Boolean,
        targetMillis: Long,
        pauseMillis: Long,
    ) = CatalogRoute(
        name = "r",
        host = "h",
        pathPrefix = "/",
        idempotent = true,
        streaming = streaming,
        resumable = streaming,
        timeoutMillis = 20_000,
        latencyTargetMillis = targetMillis,
        pauseTargetMillis = pauseMillis,
        priority = 0,
        models = emptyList(),
        shares = listOf(PoolShare(PoolName("p"), 1)),
        maxAttempts = 3,
        public = false,
        sticky = false,
    )

    private val draft = route(streaming = true, targetMillis = 2_000, pauseMillis = 600)
    private val patient = route(streaming = true, targetMillis = 4_000, pauseMillis = 2_500)
    private val call = route(streaming = false, targetMillis = 200, pauseMillis = 0)

    private class Case(
        val name: String,
        val route: CatalogRoute,
        val health: UpstreamHealth,
        val hasEvents: Boolean,
        val firstAttempt: Boolean,
        val expectedMillis: Long?,
    )

    @TestFactory
    fun `time without progress after which an attempt is abandoned`(): List<DynamicTest> = listOf(
        Case("first attempt of a call", call, UpstreamHealth.Responsive, false, true, 240),
        Case("second attempt of a call", call, UpstreamHealth.SuspectedUnhealthy, false, false, null),
        Case("busy engine before the first event", draft, UpstreamHealth.Responsive, false, true, 3_000),
        Case("busy engine with a longer target", patient, UpstreamHealth.Responsive, false, true, 4_000),
        Case("silent engine before the first event", draft, UpstreamHealth.SuspectedUnhealthy, false, true, 900),
        Case("silent engine in a stream", draft, UpstreamHealth.SuspectedUnhealthy, true, true, 1_500),
        Case("silent engine in a slow stream", patient, UpstreamHealth.SuspectedUnhealthy, true, true, 5_000),
        Case("departed engine in a slow stream", patient, UpstreamHealth.Departed, true, true, 1_500),
    ).map { case ->
        dynamicTest(case.name) {
            expectThat(case.route.stallTimeoutMillis(case.health, case.hasEvents, case.firstAttempt))
                .isEqualTo(case.expectedMillis)
        }
    }
}
