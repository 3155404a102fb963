/*
 * Large bodies that arrive at the same time: how much of them a host holds, and whom they delay.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val MAX_BYTES = 3_000_000L
private const val BODY_BYTES = 2_000_000
private const val CALLERS = 10

/** Number of small calls without a further byte read after which a host has read what it is going to. */
private const val SETTLED_CALLS = 50

internal class LargeBodiesTest : GatewayFixture(bodyMemoryBytes = MAX_BYTES) {
    private val uploaders = Executors.newCachedThreadPool()
    private val half = "a".repeat(BODY_BYTES / 2)

    private fun head(framing: String) =
        "POST /lookup/x HTTP/1.1\nHost: shop.example\nx-attempt: id1\nAuthorization: Bearer k1\n$framing\n\n"

    /** Sends uploads in two halves; the host may neither hold too much of them nor delay small calls. */
    private fun expectUploadsWithinMemory(
        first: String,
        second: String,
    ) {
        val sound = FakeUpstream { _, out, _ -> true.also { out.send(fullResponse("200 OK", "done")) } }
        serveFrom(listOf(sound), maxBodyBytes = BODY_BYTES.toLong())
        val halfSent = CountDownLatch(1)
        val answers =
            List(CALLERS) {
                val caller = FakeCaller(callers)
                CompletableFuture.supplyAsync({ caller.use { it.upload(first, second, halfSent) } }, uploaders)
            }
        awaitSettled()
        // Those that wait hold a small body and what was read with its end.
        onLoop { expectThat(gateway.partialBodyBytes).isLessThanOrEqualTo(MAX_BYTES + CALLERS * 2L * SMALL_BODY_BYTES) }
        halfSent.countDown()
        answers.forEach { expectThat(it.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("done") }
    }

    private fun awaitSettled() {
        var readBytes = 0L
        var unchangedCalls = 0
        while (unchangedCalls < SETTLED_CALLS || readBytes == 0L) {
            expectThat(exchange(request("/lookup/y"))?.body).isEqualTo("done")
            val before = readBytes
            onLoop { readBytes = gateway.partialBodyBytes }
            unchangedCalls = if (readBytes == before) unchangedCalls + 1 else 0
        }
    }

    private fun FakeCaller.upload(
        first: String,
        second: String,
        halfSent: CountDownLatch,
    ): String? {
        send(first)
        halfSent.await()
        send(second)
        return response()?.body
    }

    @AfterEach
    fun stopUploaders() {
        uploaders.shutdownNow()
    }

    // Guards against a host that stops serving all callers because large uploads exhaust its memory.
    @Test
    fun `uploads with a length are read as memory allows`() =
        expectUploadsWithinMemory(head("Content-Length: $BODY_BYTES") + half, half)

    @Test
    fun `chunked uploads are read as memory allows`() {
        val chunk = "${(BODY_BYTES / 2).toString(16)}\n$half\n"
        expectUploadsWithinMemory(head("Transfer-Encoding: chunked") + chunk, "${chunk}0\n\n")
    }

    private class Step(
        val reserved: Long,
        val granted: List<Int>,
    )

    @Test
    fun `memory is granted in order of arrival, and the rest waits`() {
        val memory = BodyMemory(maxBytes = 10)
        val granted = ArrayList<Int>()
        val sizes = listOf(6L, 6L, 2L, 20L, 1L)
        val reservations = sizes.mapIndexed { index, bytes -> memory.reserve(bytes) { granted += index } }
        expectThat(reservations.map { it.isGranted }).containsExactly(true, false, false, false, false)
        val steps =
            listOf(
                Step(8, listOf(1, 2)),
                Step(2, listOf(1, 2)),
                Step(20, listOf(1, 2, 3)),
                Step(1, listOf(1, 2, 3, 4)),
                Step(0, listOf(1, 2, 3, 4)),
            )
        reservations.zip(steps).forEach { (reservation, step) ->
            reservation.release()
            expectThat(memory.reservedBytes).isEqualTo(step.reserved)
            expectThat(granted.toList()).isEqualTo(step.granted)
        }
    }

    @Test
    fun `a body that no longer waits gets no memory`() {
        val memory = BodyMemory(maxBytes = 10)
        val first = memory.reserve(10) { error("expected no call, it was granted at once") }
        val second = memory.reserve(10) { error("expected no call, it was given up") }
        second.release()
        first.release()
        expectThat(memory.reservedBytes).isEqualTo(0L)
    }
}
