/*
 * Upstreams that state in their answers how many requests a second they accept, through a gateway over loopback.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.UpstreamLoad
import io.carawaytrack.model.UpstreamId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors

private const val LIMIT_PER_SECOND = 2
private const val WINDOW_SECONDS = 4

/** The most that may reach the upstream in a window: one and a half times the limit, and five requests. */
private const val MOST_IN_WINDOW = LIMIT_PER_SECOND * WINDOW_SECONDS * 3 / 2 + 5

private const val STEP_MILLIS = 100L

internal class LimitedUpstreamTest : GatewayFixture() {
    private val limited = fullResponse("200 OK", "done", "x-seal: s\nx-limit: $LIMIT_PER_SECOND\n")
    private val unlimited = fullResponse("200 OK", "done")

    /** Waits until each of the requests has reached the gateway or has ended. */
    private fun awaitArrival(responses: List<CompletableFuture<*>>) {
        do {
            var arrived = responses.count { it.isDone }
            onLoop { arrived += gateway.unfinished }
        } while (arrived < responses.size)
    }

    private fun lookup() = exchange(request("/lookup/x"))

    @Test
    fun `an upstream gets no more requests than the limit that it states and the others are refused as not run`() {
        serve({ _, out, _ -> true.also { out.send(limited) } })
        lookup()
        val callers = Executors.newCachedThreadPool()
        val responses = ArrayList<CompletableFuture<RawMessage?>>()
        repeat(WINDOW_SECONDS * 1_000 / STEP_MILLIS.toInt()) {
            responses += CompletableFuture.supplyAsync(::lookup, callers)
            awaitArrival(responses)
            advance(STEP_MILLIS)
        }
        val served = responses.count { "200" in it.get()?.start.orEmpty() }
        callers.shutdown()
        expectThat(upstreams.single().requests.size).isEqualTo(served + 1)
        expectThat(served).isIn(LIMIT_PER_SECOND..MOST_IN_WINDOW)
        val refused = responses.mapNotNull { it.get() }.filter { "200" !in it.start }
        expectThat(refused).all { get { start }.isEqualTo("HTTP/1.1 503 Service Unavailable") }
        expectThat(refused).all { get { get("retry-after") }.isNotNull() }
    }

    @Test
    fun `requests beyond a stated limit go to other upstreams`() {
        serve({ _, out, _ -> true.also { out.send(limited) } }, { _, out, _ -> true.also { out.send(unlimited) } })
        lookup()
        repeat(30) { expectThat(lookup()?.start).isEqualTo("HTTP/1.1 200 OK") }
        expectThat(upstreams[0].requests.size).isLessThan(MOST_IN_WINDOW)
    }

    @Test
    fun `an upstream that no longer states a limit gets requests as before`() {
        var answer = limited
        serve({ _, out, _ -> true.also { out.send(answer) } })
        lookup()
        answer = unlimited
        repeat(80) { advance(STEP_MILLIS) }
        while (lookup()?.start != "HTTP/1.1 200 OK") advance(STEP_MILLIS)
        repeat(30) { expectThat(lookup()?.start).isEqualTo("HTTP/1.1 200 OK") }
    }

    @Test
    fun `a host that another one has told of a limit keeps to it before it has an answer of its own`() {
        serve({ _, out, _ -> true.also { out.send(limited) } }, { _, out, _ -> true.also { out.send(unlimited) } })
        onLoop { gateway.applyLoad(reportOf(startedAtMillis = 1)) }
        repeat(30) { expectThat(lookup()?.start).isEqualTo("HTTP/1.1 200 OK") }
        expectThat(upstreams[0].requests.size).isLessThan(MOST_IN_WINDOW)
    }

    @Test
    fun `a limit of an earlier start of an upstream says nothing about the present one`() {
        serve({ _, out, _ -> true.also { out.send(unlimited) } }, { _, out, _ -> true.also { out.send(unlimited) } })
        onLoop { gateway.applyLoad(reportOf(startedAtMillis = 0)) }
        repeat(30) { lookup() }
        expectThat(upstreams[0].requests.size).isEqualTo(30)
    }

    @Test
    fun `a limit is reported to the other hosts with the load`() {
        serve({ _, out, _ -> true.also { out.send(fullResponse("200 OK", "", "x-limit: 2.5\nx-load: 3,1,8\n")) } })
        lookup()
        var reported = emptyList<UpstreamLoad>()
        onLoop { reported = gateway.takeLoads() }
        val expected = UpstreamLoad(UpstreamId("stock-0"), 3, 1, ageMillis = 0, 2.5, startedAtMillis = 1)
        expectThat(reported.map { it.copy(ageMillis = 0) }).isEqualTo(listOf(expected))
    }

    private fun reportOf(startedAtMillis: Long) =
        UpstreamLoad(UpstreamId("stock-0"), 0, 0, ageMillis = 0, limitPerSecond = 2.0, startedAtMillis)
}
