/*
 * Upstreams that send bytes between two responses on a kept connection: a second response, whole or cut at any byte,
 * with or without an identifier, in the same read as the first one, later, or right before the next response.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Time after which an upstream that broke attempts is used again. */
private const val PAUSE_OVER_MILLIS = 5_000L

private const val BODY_BYTES = 12

internal class SurplusBytesTest : GatewayFixture() {
    /** When an upstream sends its surplus bytes. */
    enum class Moment { InSameRead, BeforeNextRequest, BeforeNextResponse }

    /** The bytes [surplus] follow a response, and the next request on [path] is answered by [response]. */
    private class Case(
        val surplus: String,
        val moment: Moment,
        val path: String,
        val response: String,
        val method: String = "POST",
    ) {
        override fun toString() = "$method $path, $moment, ${surplus.replace("\n", "\\n")}, then $response"
    }

    class Surplus(
        val head: String,
        val moment: Moment,
    ) {
        override fun toString() = "$moment: ${head.replace("\n", " ")}"
    }

    private var case: Case? = null
    private var outOfFirst: OutputStream? = null
    private val runs = AtomicInteger()

    private fun idOf(request: RawMessage) = request["x-attempt"].orEmpty()

    private fun response(
        id: String,
        status: String,
        body: String,
    ) = "HTTP/1.1 $status\nx-seal: of-$id-$status\nx-attempt: $id\nContent-Length: ${body.length}\n\n$body"

    private fun serveCases() = serve({ request, out, _ ->
        val current = checkNotNull(case)
        if (idOf(request) == "first") {
            val surplusNow = if (current.moment == Moment.InSameRead) current.surplus else ""
            outOfFirst = out
            out.send(response("first", "200 OK", "of-first-one") + surplusNow)
        } else {
            runs.incrementAndGet()
            val onFirst = out === outOfFirst && current.moment == Moment.BeforeNextResponse
            out.send((if (onFirst) current.surplus else "") + current.response)
        }
        true
    })

    private fun requestOf(
        id: String,
        path: String,
        method: String = "POST",
    ) = request(path).replace("x-attempt: id1", "x-attempt: $id").replaceFirst("POST", method)

    /** Plays [played] and checks that each caller receives its own whole response, or a failure that is true. */
    private fun check(played: Case) {
        case = played
        runs.set(0)
        advance(PAUSE_OVER_MILLIS)
        expectThat(exchange(requestOf("first", "/lookup/x"))?.body).isEqualTo("of-first-one")
        if (played.moment == Moment.BeforeNextRequest) {
            checkNotNull(outOfFirst).send(played.surplus)
            // The gateway has read these bytes once it has answered requests that came later.
            repeat(2) { exchange(request("/nothing/x")) }
        }
        val received = checkNotNull(exchange(requestOf("second", played.path, played.method)))
        val status = received.start.substringAfter(' ')
        val own = played.response.substringAfter(' ').substringBefore('\n')
        if (played.moment == Moment.BeforeNextResponse && status.startsWith("502")) {
            expectThat(received["x-seal"]).describedAs("$played").isNull()
        } else {
            expectThat(status).describedAs("$played").isEqualTo(own)
            expectThat(received["x-seal"]).describedAs("$played").isEqualTo("of-second-$own")
            expectThat(received.body).describedAs("$played").isEqualTo(played.response.substringAfter("\n\n"))
        }
        if (!played.path.startsWith("/lookup")) expectThat(runs.get()).describedAs("$played").isEqualTo(1)
    }

    // Guards against a response whose beginning, or all of it, came before the response's own.
    @ParameterizedTest
    @MethodSource("surpluses")
    fun `bytes between two responses belong to neither, wherever they are cut`(surplus: Surplus) {
        serveCases()
        val whole = surplus.head + "Content-Length: $BODY_BYTES\n\nof-first-one"
        for (length in 1..whole.length) {
            check(Case(whole.take(length), surplus.moment, "/pay/x", response("second", "500 Oops", "sorry")))
        }
    }

    @ParameterizedTest
    @MethodSource("junk")
    fun `bytes that are no response are not taken for a part of one`(junk: String) {
        serveCases()
        Moment.entries.forEach { check(Case(junk, it, "/pay/x", response("second", "200 OK", "of-second"))) }
    }

    @Test
    fun `callers get their own whole responses from an upstream with any surplus bytes`() {
        serveCases()
        val seed = System.nanoTime()
        println("seed $seed")
        val random = Random(seed)
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FUZZ_SECONDS)
        while (System.nanoTime() < endNanos) check(randomCase(random))
    }

    private fun randomCase(random: Random): Case {
        // Without another upstream, a call that may run again gets the gateway's own failure in place of a 500.
        val path = listOf("/lookup/x", "/pay/x").random(random)
        val status =
            (listOf("200 OK", "404 Not Found") + if (path == "/pay/x") listOf("500 Oops") else emptyList())
                .random(random)
        val heads = List(random.nextInt(1, 3)) { heads.random(random) + "Content-Length: $BODY_BYTES\n\nof-first-one" }
        val surplus = (heads + junk()).shuffled(random).take(random.nextInt(1, 3)).joinToString("")
        val cut = surplus.take(random.nextInt(1, surplus.length + 1))
        val method = listOf("POST", "GET").random(random)
        return Case(cut, Moment.entries.random(random), path, response("second", status, "of-second"), method)
    }

    // Guards against a queued request that is sent on a connection whose last read has not been examined in full.
    @Test
    fun `a queued request is not answered by what follows another request's response`() {
        val queued = CountDownLatch(1)
        serve({ request, out, _ ->
            val id = idOf(request)
            queued.await()
            out.send(response(id, "200 OK", id) + heads.last() + "Content-Length: 5\n\nother")
            true
        })
        val others = (1..REQUESTS).map { "call-$it" }.map { it to FakeCaller(callers) }
        others.forEach { (id, caller) -> caller.send(requestOf(id, "/pay/x")) }
        awaitOnLoop { gateway.waiting > 0 }
        queued.countDown()
        others.forEach { (id, caller) -> expectThat(caller.use { it.response() }?.body).isEqualTo(id) }
    }

    private companion object {
        const val FUZZ_SECONDS = 3L
        const val REQUESTS = 24

        /** Heads of second responses: with the former identifier or without, signed or not, successes and failures. */
        val heads =
            listOf("200 OK", "500 Oops").flatMap { status ->
                listOf("x-seal: of-first-$status\n", "").flatMap { seal ->
                    listOf("${seal}x-attempt: first\n", seal).map { "HTTP/1.1 $status\n$it" }
                }
            } + "HTTP/1.1 200 OK\nx-seal: of-first-200 OK\n"

        @JvmStatic
        fun surpluses() = Moment.entries.flatMap { moment -> heads.distinct().map { Surplus(it, moment) } }

        @JvmStatic
        fun junk() = listOf(
            "junk",
            "junk\n",
            "\n\n",
            "HTTP/1.1 200 OK\nx-seal: of-first-200 OK\nx-more: ",
            "HTTP/1.1 200 ",
            "HTTP/1.1 100 Continue\n",
            "HTTP/1.1 204 No Content\nx-seal: of-first-204 No Content\n\n",
            "HTTP/1.1 000 OK\nx-seal: of-first-000 OK\nContent-Length: 0\n\n",
            "HTTP/1.1 200 OK\nx-seal: of-first-200 OK\nx more: 1\nContent-Length: 0\n\n",
            "0\n\n",
            "5\nother\n0\n\n",
        )
    }
}
