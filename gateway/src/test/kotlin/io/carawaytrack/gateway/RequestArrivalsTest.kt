/*
 * The rule that decides whether a request may be sent to an upstream again.
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

class RequestArrivalsTest {
    /** What has become of the first attempt when the request is to be sent again. */
    private enum class First(
        val record: RequestArrivals.() -> Unit,
    ) {
        InProgress({}),
        MayHaveRun({ attemptEnded(ran = true) }),
        HasNotRun({ attemptEnded(ran = false) }),
        NotSent({ notSent() }),
    }

    /** A route, and what remains possible for a request on it that may have run. */
    private class Case(
        val name: String,
        val streaming: Boolean,
        val idempotent: Boolean = false,
        val resumable: Boolean = false,
        val usesAnotherRun: Boolean = true,
        val mayRunAgain: Boolean,
    )

    private fun Case.route() = CatalogRoute(
        name = name,
        host = "shop.example",
        pathPrefix = "/",
        idempotent = idempotent,
        streaming = streaming,
        resumable = resumable,
        timeoutMillis = 1_000,
        latencyTargetMillis = 1_000,
        pauseTargetMillis = 1_000,
        priority = 0,
        models = emptyList(),
        shares = listOf(PoolShare(PoolName("llm"), 1)),
        maxAttempts = 3,
        public = false,
        sticky = false,
    )

    /** Guards against a reason for which a request runs again that may run once. */
    @TestFactory
    fun `a request that may have run is sent again only if it may run again`(): List<DynamicTest> = listOf(
        Case("a payment", streaming = false, mayRunAgain = false),
        Case("a lookup", streaming = false, idempotent = true, mayRunAgain = true),
        Case("a stream", streaming = true, idempotent = true, mayRunAgain = false),
        Case("a resumable stream", streaming = true, resumable = true, mayRunAgain = true),
        Case("a stuck stream", streaming = true, resumable = true, usesAnotherRun = false, mayRunAgain = false),
    ).flatMap { case ->
        First.entries.flatMap { first ->
            RetryReason.entries.map { reason ->
                dynamicTest("${case.name}, $first, $reason") {
                    val arrivals = RequestArrivals(case.route(), { case.usesAnotherRun }) { RetryPermit {} }
                    arrivals.sent()
                    first.record(arrivals)
                    val cannotHaveRun = first == First.HasNotRun || first == First.NotSent
                    expectThat(arrivals.tryNext(reason)).isEqualTo(cannotHaveRun || case.mayRunAgain)
                }
            }
        }
    }
}
