/*
 * A gateway over loopback sockets with its routing tables and fake upstreams, shared by the gateway's tests.
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
import io.carawaytrack.fleet.ModelPrice
import io.carawaytrack.fleet.PoolShare
import io.carawaytrack.limits.RetrySettings
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import io.netty.channel.nio.NioEventLoopGroup
import org.junit.jupiter.api.AfterEach
import java.io.OutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

internal val headerNames =
    HeaderNames(
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
        limit = "x-limit",
        coldMillis = "x-cold",
        confidence = "x-confidence",
        reserved = setOf("x-expect", "x-organisation", "x-urgency"),
    )

/** Models of routes that leave the choice to the gateway, the smallest first; the price suggests to try that one. */
private val modelPrices = listOf(ModelPrice("small", 0.016), ModelPrice("middle", 0.12), ModelPrice("large", 0.24))
private val models = modelPrices.map { it.model }

internal const val STREAM_HEAD = "HTTP/1.1 200 OK\nx-attempt: id1\nx-seal: s\nTransfer-Encoding: chunked\n\n"

/** A gateway and its fake upstreams, started for each test. */
internal abstract class GatewayFixture(
    // Enough for several retries of the first request: a budget is empty when its gateway starts.
    retries: RetrySettings = RetrySettings(retryRatio = 10.0, minRetries = 100),
    bodyMemoryBytes: Long = defaultBodyMemoryBytes(),
    // How much slower the gateway's clock runs than real time, for tests that a busy machine must not make time out.
    private val clockDivisor: Long = 1,
) {
    private val group = NioEventLoopGroup(1)
    private val advancedMillis = AtomicLong()
    protected val callers = ServerSocket(0).use { HostPort("127.0.0.1", it.localPort) }
    protected val upstreams = ArrayList<FakeUpstream>()
    protected val crashesRecorded = AtomicInteger()
    protected val retriesDenied = AtomicInteger()
    protected val startedOrganisations = ConcurrentLinkedQueue<String>()
    protected val faults = ConcurrentLinkedQueue<String>()
    protected val gateway =
        Gateway(
            GatewaySettings(
                callers,
                ZoneName("a"),
                retries,
                bodyMemoryBytes = bodyMemoryBytes,
            ),
            headerNames,
            group,
            FleetKnowledge(upstreams = { emptyList() }, rolloutElapsedMillis = { 0 }),
            GatewayMeters(
                retryDecided = { _, _, granted -> if (!granted) retriesDenied.incrementAndGet() },
                responseRejected = { pool, fault -> faults += "${pool.value} $fault" },
                requestStarted = { startedOrganisations += it?.value.orEmpty() },
            ),
            crashRecorded = { crashesRecorded.incrementAndGet() },
        ) { nowMillis() }

    init {
        val tick = { gateway.tick() }
        group.next().scheduleAtFixedRate(tick, GATEWAY_TICK_MILLIS, GATEWAY_TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun nowMillis() = System.nanoTime() / 1_000_000 / clockDivisor + advancedMillis.get()

    /** Advances the gateway's clock and lets it check deadlines and stalled attempts. */
    protected fun advance(millis: Long) {
        advancedMillis.addAndGet(millis)
        onLoop { gateway.tick() }
    }

    private fun route(
        name: String,
        streaming: Boolean = false,
        idempotent: Boolean = true,
        targetMillis: Long = 10_000,
        models: List<String> = emptyList(),
        maxAttempts: Int = 3,
        pool: String = if (streaming) "llm" else "stock",
    ) = CatalogRoute(
        name = name,
        host = "shop.example",
        pathPrefix = "/$name/",
        idempotent = idempotent,
        streaming = streaming,
        resumable = streaming && idempotent,
        timeoutMillis = 15_000,
        latencyTargetMillis = targetMillis,
        pauseTargetMillis = 1_000,
        priority = 0,
        models = models,
        shares = listOf(PoolShare(PoolName(pool), 1)),
        maxAttempts = maxAttempts,
        public = false,
        sticky = false,
    )

    private fun catalog(
        limits: CallerLimits,
        version: Long = 1,
    ) = Catalog(
        version = version,
        routes =
            listOf(
                route("lookup"),
                route("pay", idempotent = false),
                route("draft", streaming = true),
                route("oneoff", streaming = true, idempotent = false),
                route("prompt", streaming = true, targetMillis = 400),
                route("brief", streaming = true, models = models),
                route("note", streaming = true, models = models, pool = "stock"),
                route("memo", streaming = true, idempotent = false, models = models, pool = "stock"),
                route("single", streaming = true, models = models, maxAttempts = 1, pool = "stock"),
                route("quote", models = models),
                route("order", idempotent = false, models = models),
            ),
        pools = listOf("stock", "llm").map { pool(it) }.associateBy { it.name },
        organisations = listOf(organisation("stalls", "k1"), organisation("scribes", "k2")),
        keysRequired = true,
        limits = limits,
    )

    private fun organisation(
        name: String,
        key: String,
    ) = CatalogOrganisation(OrganisationName(name), setOf(key), priority = null)

    private fun pool(name: String) = CatalogPool(
        name = PoolName(name),
        healthPath = "/",
        maxConnections = 10,
        coldStartMillis = 0,
        coldRequestsPerSecond = 0.0,
        engine = EngineTraits(8, 1_000, modelPrices),
    )

    protected fun onLoop(action: () -> Unit) {
        group.next().submit(action).get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Waits until [condition] holds on the event loop, with [before] ahead of each check. */
    protected fun awaitOnLoop(
        before: () -> Unit = {},
        condition: () -> Boolean,
    ) {
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)
        var met = false
        while (!met) {
            check(System.nanoTime() < endNanos) { "expected the condition within $TIMEOUT_SECONDS s" }
            before()
            onLoop { met = condition() }
        }
    }

    /** Starts upstreams that all serve the pools "stock" and "llm", the first one in the gateway's own zone. */
    protected fun serve(vararg responders: (RawMessage, OutputStream, Socket) -> Boolean) =
        serveFrom(responders.map { FakeUpstream(respond = it) })

    protected fun serveFrom(
        fakes: List<FakeUpstream>,
        maxBodyBytes: Long = 1_000,
    ) {
        fakes.forEachIndexed { index, upstream ->
            upstreams += upstream
            listOf("stock", "llm").forEach { pool -> announce("$pool-$index", pool, upstream, index) }
        }
        changeLimits(CallerLimits(maxBodyBytes = maxBodyBytes), version = 1)
    }

    /** Puts a configuration with other [limits] in force. */
    protected fun changeLimits(
        limits: CallerLimits,
        version: Long = 2,
    ) = onLoop { gateway.apply(catalog(limits, version)) }

    /** Announces that the upstream with [index] leaves. */
    protected fun announceLeaving(index: Int) = listOf("stock", "llm").forEach { pool ->
        announce("$pool-$index", pool, upstreams[index], index, draining = true)
    }

    private fun announce(
        id: String,
        pool: String,
        fake: FakeUpstream,
        index: Int,
        draining: Boolean = false,
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
                draining = draining,
                coldMillis = 0,
                sequence = if (draining) 2 else 1,
                startedAtMillis = 1,
            )
        onLoop { gateway.updateUpstream(KnownUpstream(upstream, nowMillis())) }
    }

    protected fun request(
        path: String,
        body: String = "",
        headers: String = "",
        key: String = "k1",
        deadlineMillis: Int = 10_000,
    ) = "POST $path HTTP/1.1\nHost: shop.example\nx-attempt: id1\nx-deadline: $deadlineMillis\n" +
        "Authorization: Bearer $key\n${headers}Content-Length: ${body.length}\n\n$body"

    protected fun exchange(text: String): RawMessage? = FakeCaller(callers).use { caller ->
        caller.send(text)
        caller.response()
    }

    protected fun fullResponse(
        status: String,
        body: String,
        headers: String = "x-seal: s\n",
    ) = "HTTP/1.1 $status\nx-attempt: id1\n${headers}Content-Length: ${body.length}\n\n$body"

    protected fun event(id: Int): String {
        val event = "id: $id\ndata: $id\n\n"
        return "${event.length.toString(16)}\n".replace("\n", "\r\n") + event + "\r\n"
    }

    protected fun OutputStream.raw(text: String) {
        write(text.encodeToByteArray())
        flush()
    }

    @AfterEach
    fun stop() {
        gateway.close()
        upstreams.forEach { it.close() }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }
}
