/*
 * Requests that upstreams reject without running them, through a gateway over loopback: how many upstreams one request
 * reaches, and what its caller receives when the budget for retries is used up.
 */
package io.carawaytrack.gateway

import io.carawaytrack.limits.RetrySettings
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.util.concurrent.CountDownLatch

/** `max_attempts` of the fixture's routes. */
private const val MAX_ATTEMPTS = 3

private const val UPSTREAMS = 6

/** More than the time after which a call of the fixture's routes is retried, and less than twice that. */
private const val STALL_TIMEOUT_MILLIS = 12_500L

/** Number of checks for stalled requests within the following stall timeout; the route times out after them. */
private const val TICKS = 10

/** Time for which one call waits for an upstream with free capacity. */
private const val CALL_WAIT_MILLIS = 700L

/** Statuses from which callers conclude that the request has not run. */
private val notRunStatuses = setOf(408, 421, 429, 503)

private val RawMessage.status get() = start.substring(9, 12).toInt()

internal class RejectedRequestTest : GatewayFixture() {
    @ParameterizedTest
    @CsvSource(
        "429 Too Many Requests, x-not-executed: 1, pay",
        "429 Too Many Requests, x-not-executed: 1, draft",
        "503 Service Unavailable, x-not-executed: 1, lookup",
        "503 Service Unavailable, x-not-executed: 1, oneoff",
        "400 Bad Request, x-not-executed: 1, pay",
        "421 Misdirected Request, x-other: 1, pay",
    )
    fun `a request that all upstreams reject reaches at most max attempts of them`(
        status: String,
        header: String,
        route: String,
    ) {
        val rejection = fullResponse(status, "", "$header\n")
        serveFrom(List(UPSTREAMS) { FakeUpstream { _, out, _ -> true.also { out.send(rejection) } } })
        val response = exchange(request("/$route/x"))
        expectThat(upstreams.sumOf { it.requests.size }).isIn(1..MAX_ATTEMPTS)
        expectThat(response?.status).isNotNull().isContainedIn(notRunStatuses)
    }
}

internal class RejectedWithoutBudgetTest : GatewayFixture(RetrySettings(retryRatio = 0.0, minRetries = 0)) {
    @Test
    fun `a rejected request is refused at once as not run when the budget is used up`() {
        val rejection = fullResponse("429 Too Many Requests", "", "x-not-executed: 1\n")
        serveFrom(List(UPSTREAMS) { FakeUpstream { _, out, _ -> true.also { out.send(rejection) } } })
        val sentAtNanos = System.nanoTime()
        val responses = List(UPSTREAMS) { exchange(request("/pay/x")) }
        val tookMillis = (System.nanoTime() - sentAtNanos) / 1_000_000
        responses.forEach {
            expectThat(it?.status).isEqualTo(503)
            expectThat(it?.get("Retry-After")?.toDouble()).isNotNull().isIn(0.01..1.0)
        }
        expectThat(tookMillis).isLessThan(UPSTREAMS * CALL_WAIT_MILLIS)
        expectThat(upstreams.sumOf { it.requests.size }).isEqualTo(UPSTREAMS)
    }

    @Test
    fun `a stalled request asks for a retry once in each stall timeout`() {
        val asked = CountDownLatch(1)
        val released = CountDownLatch(1)
        serve({ _, out, _ ->
            asked.countDown()
            released.await()
            true.also { out.send(fullResponse("200 OK", "done")) }
        })
        FakeCaller(callers).use { caller ->
            caller.send(request("/lookup/x", deadlineMillis = 60_000))
            asked.await()
            advance(STALL_TIMEOUT_MILLIS)
            repeat(TICKS) { advance(GATEWAY_TICK_MILLIS) }
            released.countDown()
            expectThat(caller.response()?.body).isEqualTo("done")
        }
        expectThat(retriesDenied.get()).isEqualTo(1)
    }
}
