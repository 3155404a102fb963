/*
 * Requests through a gateway over loopback: what callers get, and what upstreams see, when upstreams refuse, break off,
 * stop in the middle of a stream, answer for another request, or when callers leave.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CallerLimits
import io.carawaytrack.fleet.Catalog
import io.carawaytrack.fleet.CatalogOrganisation
import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.fleet.CatalogRoute
import io.carawaytrack.fleet.EngineTraits
import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.fleet.PoolShare
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import io.netty.channel.nio.NioEventLoopGroup
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit

private val vocabulary =
    HeaderVocabulary(
        attemptId = "x-attempt",
        deadlineMillis = "x-deadline",
        expectedUpstream = "x-expect",
        organisation = "x-organisation",
        model = "x-model",
        tokenUsage = "x-usage",
        promptParts = "x-parts",
        lengthHint = "x-length",
        session = "x-session",
        urgency = "x-urgency",
        signature = "x-seal",
        notExecuted = "x-not-executed",
        load = "x-load",
        coldMillis = "x-cold",
        confidence = "x-confidence",
        reserved = setOf("x-expect", "x-organisation", "x-urgency"),
    )

private const val STREAM_HEAD = "HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\nTransfer-Encoding: chunked\n\n"

class GatewayTest {
    private val group = NioEventLoopGroup(1)
    private val callers = ServerSocket(0).use { HostPort("127.0.0.1", it.localPort) }
    private val upstreams = ArrayList<FakeUpstream>()
    private val gateway =
        Gateway(
            GatewaySettings(callers, ZoneName("a"), RetrySettings(retryRatio = 1.0, minRetries = 100)),
            vocabulary,
            group,
            { emptyList() },
        ) { nowMillis() }

    init {
        val tick = { gateway.tick() }
        group.next().scheduleAtFixedRate(tick, GATEWAY_TICK_MILLIS, GATEWAY_TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun nowMillis() = System.nanoTime() / 1_000_000

    private fun route(
        name: String,
        streaming: Boolean = false,
        idempotent: Boolean = true,
    ) = CatalogRoute(
        name = name,
        host = "shop.example",
        pathPrefix = "/$name/",
        idempotent = idempotent,
        streaming = streaming,
        resumable = streaming && idempotent,
        timeoutMillis = 15_000,
        latencyTargetMillis = 10_000,
        pauseTargetMillis = 1_000,
        rank = 0,
        models = emptyList(),
        shares = listOf(PoolShare(PoolName(if (streaming) "llm" else "stock"), 1)),
        maxAttempts = 3,
        public = false,
        sticky = false,
    )

    private val catalog =
        Catalog(
            version = 1,
            routes =
                listOf(
                    route("lookup"),
                    route("pay", idempotent = false),
                    route("draft", streaming = true),
                    route("oneoff", streaming = true, idempotent = false),
                ),
            pools = listOf("stock", "llm").map { pool(it) }.associateBy { it.name },
            organisations = listOf(CatalogOrganisation(OrganisationName("stalls"), setOf("k1"), rank = null)),
            keysRequired = true,
            limits = CallerLimits(maxBodyBytes = 1_000),
        )

    private fun pool(name: String) = CatalogPool(
        name = PoolName(name),
        healthPath = "/",
        maxConnections = 10,
        coldStartMillis = 0,
        coldRequestsPerSecond = 0.0,
        engine = if (name == "llm") EngineTraits(8, 1_000, emptyList()) else null,
    )

    private fun onLoop(act: () -> Unit) {
        group.next().submit(act).get(LIMIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Starts upstreams that share the pools "stock" and "llm", the first one in the gateway's own zone. */
    private fun serve(vararg answers: (RawMessage, OutputStream, Socket) -> Boolean) {
        answers.forEachIndexed { index, answer ->
            val upstream = FakeUpstream(answer)
            upstreams += upstream
            listOf("stock", "llm").forEach { pool -> announce("$pool-$index", pool, upstream, index) }
        }
        onLoop { gateway.apply(catalog) }
    }

    private fun announce(
        id: String,
        pool: String,
        fake: FakeUpstream,
        index: Int,
    ) {
        val address = if (pool == "stock") fake.address else fake.address.copy(host = "localhost")
        val upstream =
            FleetUpstream(
                id = UpstreamId(id),
                pool = PoolName(pool),
                address = address,
                zone = ZoneName(if (index == 0) "a" else "b"),
                version = "v1",
                slots = 8,
                leaving = false,
                coldMillis = 0,
                sequence = 1,
                startedAtMillis = 1,
            )
        onLoop { gateway.changed(KnownUpstream(upstream, nowMillis())) }
    }

    private fun request(
        path: String,
        body: String = "",
        headers: String = "",
        key: String = "k1",
        deadlineMillis: Int = 10_000,
    ) = "POST $path HTTP/1.1\nHost: shop.example\nx-attempt: id1\nx-deadline: $deadlineMillis\n" +
        "Authorization: Bearer $key\n${headers}Content-Length: ${body.length}\n\n$body"

    private fun ask(text: String): RawMessage? = FakeCaller(callers).use { caller ->
        caller.send(text)
        caller.answer()
    }

    private fun whole(
        status: String,
        body: String,
        headers: String = "x-seal: s\n",
    ) = "HTTP/1.1 $status\nx-attempt: id1\n${headers}Content-Length: ${body.length}\n\n$body"

    private fun event(id: Int): String {
        val event = "id: $id\ndata: $id\n\n"
        return "${event.length.toString(16)}\n".replace("\n", "\r\n") + event + "\r\n"
    }

    private fun OutputStream.raw(text: String) {
        write(text.encodeToByteArray())
        flush()
    }

    @AfterEach
    fun stop() {
        gateway.close()
        upstreams.forEach { it.close() }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).get(LIMIT_SECONDS, TimeUnit.SECONDS)
    }

    @Test
    fun `a request reaches its upstream unchanged but for what the gateway sets`() {
        serve({ _, out, _ -> true.also { out.send(whole("200 OK", "done")) } })
        val answer = ask(request("/lookup/x?q=1", "hello", "x-organisation: other\nx-own: 7\nx-expect: me\n"))
        val seen = checkNotNull(upstreams[0].requests.poll(LIMIT_SECONDS, TimeUnit.SECONDS))
        expectThat(seen.start).isEqualTo("POST /lookup/x?q=1 HTTP/1.1")
        expectThat(seen.body).isEqualTo("hello")
        expectThat(seen["x-organisation"]).isEqualTo("stalls")
        expectThat(seen["x-expect"]).isEqualTo("stock-0")
        expectThat(seen["x-own"]).isEqualTo("7")
        expectThat(seen["authorization"]).isNull()
        expectThat(answer?.body).isEqualTo("done")
        expectThat(answer?.get("x-seal")).isEqualTo("s")
    }

    @Test
    fun `a request that no row or key allows is refused`() {
        serve({ _, out, _ -> true.also { out.send(whole("200 OK", "done")) } })
        expectThat(ask(request("/nothing/x"))?.start).isEqualTo("HTTP/1.1 404 Not Found")
        expectThat(ask(request("/lookup/x", key = "k9"))?.start).isEqualTo("HTTP/1.1 401 Unauthorized")
        expectThat(ask(request("/lookup/x", body = "x".repeat(1_001)))?.start?.substring(9, 12)).isEqualTo("413")
    }

    @Test
    fun `a request is told to come back before any configuration is known`() {
        expectThat(ask(request("/lookup/x"))?.start?.substring(9, 12)).isEqualTo("503")
    }

    @Test
    fun `a request that an upstream has not run goes to another one`() {
        serve(
            { _, out, _ -> true.also { out.send(whole("503 Service Unavailable", "", "x-not-executed: 1\n")) } },
            { _, out, _ -> true.also { out.send(whole("200 OK", "second")) } },
        )
        expectThat(ask(request("/pay/x"))?.body).isEqualTo("second")
    }

    @Test
    fun `an upstream at another's address is left for good`() {
        serve(
            { _, out, _ -> true.also { out.send(whole("421 Misdirected Request", "", "")) } },
            { _, out, _ -> true.also { out.send(whole("200 OK", "second")) } },
        )
        expectThat(ask(request("/pay/x"))?.body).isEqualTo("second")
        expectThat(ask(request("/pay/x"))?.body).isEqualTo("second")
        expectThat(upstreams[0].requests.size).isEqualTo(1)
    }

    @Test
    fun `a broken answer is replaced for a request that may run twice`() {
        serve(
            {
                _,
                out,
                _,
                ->
                false.also { out.send("HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\nContent-Length: 50\n\nhalf") }
            },
            { _, out, _ -> true.also { out.send(whole("200 OK", "second")) } },
        )
        expectThat(ask(request("/lookup/x"))?.body).isEqualTo("second")
    }

    @Test
    fun `a request that may run once isn't sent again after its connection broke`() {
        serve(
            { _, _, _ -> false },
            { _, out, _ -> true.also { out.send(whole("200 OK", "second")) } },
        )
        expectThat(ask(request("/pay/x"))?.start?.substring(9, 12)).isEqualTo("502")
        expectThat(upstreams[1].requests.size).isEqualTo(0)
    }

    @Test
    fun `an answer without a seal is no success`() {
        serve({ _, out, _ -> true.also { out.send(whole("200 OK", "done", "")) } })
        expectThat(ask(request("/pay/x"))?.start?.substring(9, 12)).isEqualTo("502")
    }

    @Test
    fun `a late answer to another request is passed over`() {
        serve({ _, out, _ ->
            out.send("HTTP/1.1 200 OK\nx-attempt: id0\nx-seal: s\nContent-Length: 5\n\nother")
            true.also { out.send(whole("200 OK", "mine")) }
        })
        expectThat(ask(request("/pay/x"))?.body).isEqualTo("mine")
    }

    @Test
    fun `an answer whose length only its connection's end tells is passed on`() {
        serve({ _, out, _ -> false.also { out.send("HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\n\nall of it") } })
        expectThat(ask(request("/pay/x"))?.body).isEqualTo("all of it")
    }

    @Test
    fun `an answer without a length whose connection is reset is not complete`() {
        serve({ _, out, socket ->
            out.send("HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\n\nhalf")
            // A reset instead of an orderly end.
            socket.setSoLinger(true, 0)
            false
        })
        expectThat(ask(request("/pay/x"))?.start?.substring(9, 12)).isEqualTo("502")
    }

    @Test
    fun `a stream goes on at another upstream after its last whole event`() {
        serve(
            { _, out, _ ->
                out.send(STREAM_HEAD)
                out.raw(event(1) + event(2))
                out.raw("5\r\nid: 3")
                false
            },
            { request, out, _ ->
                out.send(STREAM_HEAD)
                out.raw(event(request["last-event-id"]!!.toInt() + 1) + "0\r\n\r\n")
                true
            },
        )
        expectThat(ask(request("/draft/x"))?.body)
            .isEqualTo("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n")
    }

    @Test
    fun `a failure by the upstream that is to go on with a stream isn't the stream's end`() {
        serve(
            { _, out, _ -> false.also { out.send(STREAM_HEAD).also { _ -> out.raw(event(1)) } } },
            { _, out, _ -> true.also { out.send(whole("500 Internal Server Error", "sorry")) } },
        )
        expectThat(ask(request("/draft/x"))?.body.orEmpty()).isEqualTo("id: 1\ndata: 1\n\n(broken off)")
    }

    @Test
    fun `a stream that may not be resumed ends broken off`() {
        serve(
            { _, out, _ -> false.also { out.send(STREAM_HEAD).also { _ -> out.raw(event(1)) } } },
            { _, out, _ -> true.also { out.send(whole("200 OK", "second")) } },
        )
        expectThat(ask(request("/oneoff/x"))?.body.orEmpty()).contains("(broken off)")
        expectThat(upstreams[1].requests.size).isEqualTo(0)
    }

    @Test
    fun `an upstream is let go when the caller of a stream leaves`() {
        serve({ _, out, _ ->
            out.send(STREAM_HEAD)
            var id = 0
            while (true) out.raw(event(++id))
            @Suppress("UNREACHABLE_CODE")
            true
        })
        FakeCaller(callers).use { caller ->
            caller.send(request("/draft/x"))
            checkNotNull(upstreams[0].requests.poll(LIMIT_SECONDS, TimeUnit.SECONDS))
        }
        expectThat(upstreams[0].closedByPeer.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isNotNull()
    }

    @Test
    fun `a request without an answer in time gets its final answer then`() {
        serve({ _, _, socket -> socket.getInputStream().read() >= 0 })
        val answer = ask(request("/pay/x", deadlineMillis = 300))
        expectThat(answer?.start?.substring(9, 12)).isEqualTo("504")
    }

    @Test
    fun `two requests sent at once on one connection are answered in order`() {
        serve(
            { request, out, _ ->
                true.also {
                    out.send(
                        whole("200 OK", request.start.substringAfter("/lookup/").take(1)),
                    )
                }
            },
        )
        FakeCaller(callers).use { caller ->
            caller.send(request("/lookup/1") + request("/lookup/2"))
            expectThat(caller.answer()?.body).isEqualTo("1")
            expectThat(caller.answer()?.body).isEqualTo("2")
        }
    }

    @Test
    fun `a request whose end two readers might see in different places is refused`() {
        serve({ _, out, _ -> true.also { out.send(whole("200 OK", "done")) } })
        val smuggled = request("/lookup/x", headers = "Transfer-Encoding: chunked\n") + "0\n\n"
        expectThat(ask(smuggled)?.start?.substring(9, 12)).isEqualTo("400")
        expectThat(upstreams[0].requests.size).isEqualTo(0)
    }

    @Test
    fun `a draining gateway refuses streams and still answers calls`() {
        serve({ _, out, _ -> true.also { out.send(whole("200 OK", "done")) } })
        FakeCaller(callers).use { caller ->
            FakeCaller(callers).use { other ->
                caller.send(request("/lookup/x"))
                expectThat(caller.answer()?.body).isEqualTo("done")
                // A connection on which a request has begun is not idle.
                other.send(
                    "POST /draft/x HTTP/1.1\nHost: shop.example\nx-attempt: id1\nContent-Length: 1\n" +
                        "Authorization: Bearer k1\n\n",
                )
                caller.send(request("/lookup/x", body = "ab").dropLast(1))
                caller.awaitRead()
                onLoop { gateway.drain() }
                other.send("x")
                caller.send("b")
                expectThat(caller.answer()?.body).isEqualTo("done")
                expectThat(other.answer()?.start?.substring(9, 12)).isEqualTo("503")
            }
        }
    }

    /** Waits until the gateway has read what was sent on its connections so far. */
    private fun FakeCaller.awaitRead() {
        check(!socket.isClosed) { "expected an open connection" }
        repeat(2) { ask(request("/lookup/x")) }
    }
}
