/*
 * Processes of a real deployment are killed, frozen and stopped while it serves requests. The counters of the stand-ins
 * show which requests ran.
 */
package io.carawaytrack.e2e

import io.carawaytrack.e2e.Deployment.Companion.OK
import io.carawaytrack.limits.QuarantineSettings
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.IN_FORCE_BOUND_MILLIS
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.endsWith
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.util.UUID
import java.util.concurrent.Future

private const val SLOW_SERVICE = """{"delayMillis":3000}"""
private const val SLOW_ENGINE = """{"tokenSlowdown":1000.0}"""
private const val CRASHING_REQUESTS = 5
private const val CRASH_TEXT = "burst the boiler"
private const val MANY_CHANGES = 110
private const val SERVED_BETWEEN_STEPS = 5
private const val LONG_ANSWER_TOKENS = 2_000
private const val COMPARED_END_CHARACTERS = 300
private const val CREATED = 201
private const val NANOS_PER_MILLI = 1_000_000L
private const val CONFIGURATION_PATH = "/v1/configuration"

@ExtendWith(SharedDeployment::class)
internal class KillsTest(
    private val deployment: Deployment,
) {
    private val json = Json { ignoreUnknownKeys = true }

    @BeforeEach
    fun restoreDeployment(): Unit = deployment.restore()

    @Test
    fun `chats and changes go on while the leading control host is down, and it catches up from its folder`() {
        val leader = deployment.leader()
        ChatLoad(deployment).use { load ->
            load.awaitServed(SERVED_BETWEEN_STEPS)
            val before = makeHarmlessChange()
            deployment.kill(leader)
            val whileDown = makeHarmlessChange()
            load.awaitServed(SERVED_BETWEEN_STEPS)
            deployment.start(leader)
            // With another host down, the quorum for a change needs the restarted host, which must have caught up.
            val next = controlHosts.first { it != leader }
            deployment.kill(next)
            val afterCatchUp = makeHarmlessChange()
            deployment.start(next)
            load.awaitServed(SERVED_BETWEEN_STEPS)
            expectThat(
                listOf(before, whileDown, afterCatchUp),
            ).isEqualTo(listOf(before, whileDown, afterCatchUp).sorted().distinct())
            deployment.expectAccurateOutcomes(load.stop())
        }
    }

    @Test
    fun `a reservation whose entry is killed before the answer is not run again by a retry through another entry`() {
        services.forEach { deployment.faults(it, SLOW_SERVICE) }
        val before = deployment.startedRequests(services)
        val key = UUID.randomUUID().toString()
        deployment.inBackground { runCatching { deployment.reserve(0, key) } }
        awaitRunningRequest(services)
        deployment.kill(entries[0])
        lateinit var retried: HttpAnswer
        deployment.until("a final answer to the retry") {
            retried = deployment.reserve(1, key)
            retried.errorKind != "InProgress"
        }
        if (retried.status == CREATED) {
            expectThat(retried.isRepeated).isTrue()
        } else {
            expectRefused(retried, "OutcomeUnknown", "MayHaveRun")
        }
        expectThat(deployment.startedRequests(services) - before).isEqualTo(1)
    }

    @Test
    fun `a killed agent's reservation is not rerun, its chat moves or is refused, and the restarted agent serves`() {
        services.forEach { deployment.faults(it, SLOW_SERVICE) }
        engines.forEach { deployment.faults(it, SLOW_ENGINE) }
        val reservedBefore = deployment.startedRequests(services)
        val key = UUID.randomUUID().toString()
        val reservation = deployment.inBackground { deployment.reserve(0, key) }
        val chat = deployment.inBackground { deployment.chat(0) }
        val service = awaitRunningRequest(services)
        val engine = awaitRunningRequest(engines)
        val incarnationBefore = deployment.announcements().first { it.upstream.value == engine }.incarnation
        listOf(service, engine).forEach { deployment.kill("agent-$it") }
        expectRefused(reservation.await(), "IncompleteAnswer", "MayHaveRun")
        deployment.expectAccurateOutcomes(listOf(chat.await()))
        val retried = deployment.reserve(1, key)
        expectThat(retried.errorKind).isContainedIn(listOf("InProgress", "OutcomeUnknown"))
        expectThat(retried.execution).isEqualTo("MayHaveRun")
        expectThat(deployment.startedRequests(services) - reservedBefore).isLessThanOrEqualTo(1)
        engines.forEach { deployment.faults(it, "{}") }
        deployment.start("agent-$engine")
        deployment.until("$engine announced again") {
            deployment.announcements().any { it.upstream.value == engine && it.incarnation > incarnationBefore }
        }
        deployment.until("work on $engine") { entries.indices.any { deployment.chat(it).upstream == engine } }
    }

    @Test
    fun `an entry and an agent frozen while a zone is taken out send it no work after the bound`() {
        val frozenAgent = "agent-$ENGINE_A"
        val upstreamsInZone = listOf(ENGINE_A, STOCK_A)
        deployment.freeze(frozenAgent)
        val atAgent = List(SERVED_BETWEEN_STEPS) { deployment.inBackground { deployment.chat(1) } }
        deployment.freeze(entries[0])
        val atEntry = List(SERVED_BETWEEN_STEPS) { deployment.inBackground { deployment.chat(0) } }
        deployment.change(ConfigurationChange.SetZone(ZoneName(DISABLED_ZONE), inService = false))
        awaitInForceBound(nowMillis())
        val before = upstreamsInZone.map { deployment.startedRequests(listOf(it)) }
        deployment.resume(frozenAgent)
        deployment.resume(entries[0])
        val late = (atAgent + atEntry).map(Future<HttpAnswer>::await)
        deployment.awaitServing()
        val afterwards = List(2 * SERVED_BETWEEN_STEPS) { deployment.chat(it % entries.size) }
        deployment.expectAccurateOutcomes(late + afterwards)
        expectThat(upstreamsInZone.map { deployment.startedRequests(listOf(it)) }).isEqualTo(before)
        expectThat(afterwards).all { get { upstream }.isEqualTo(ENGINE_B) }
    }

    @Test
    fun `an agent and an entry that are stopped during slow reads cut no stream and exit with 0`() {
        val calls = entries.indices.map { index -> HttpExchange(deployment.addresses.callers[index]) }
        calls.forEach { it.send(deployment.chatCall(stream = true, tokens = LONG_ANSWER_TOKENS)) }
        val agent = "agent-" + calls.map { it.readHead() }.last().upstream
        val stopped = listOf(agent, entries[0])
        stopped.forEach(deployment::stop)
        deployment.until("$stopped no longer ready") { stopped.none(deployment::ready) }
        val ends =
            calls
                .map { call -> call.use { it.readBody() } }
                .map { it.copy(body = it.body.takeLast(COMPARED_END_CHARACTERS)) }
        expectThat(ends).all {
            get { complete }.isTrue()
            get { body.trim() }.endsWith("data: [DONE]")
        }
        expectThat(stopped.map(deployment::exitCode)).all { isEqualTo(0) }
    }

    @Test
    fun `control hosts that are all killed after many changes restart with the last configuration`() {
        val last = List(MANY_CHANGES) { makeHarmlessChange() }.last()
        val tables = configuration().tables
        controlHosts.forEach(deployment::kill)
        controlHosts.forEach(deployment::start)
        deployment.leader()
        expectThat(configuration()) {
            get { number }.isGreaterThanOrEqualTo(last)
            get { this.tables }.isEqualTo(tables)
        }
        expectThat(makeHarmlessChange()).isGreaterThan(last)
        deployment.awaitServing()
    }

    @Test
    fun `with two control hosts down no change or request is accepted until one of them restarts`() {
        val numberBefore = makeHarmlessChange()
        val leader = deployment.leader()
        val down = listOf(leader, controlHosts.first { it != leader })
        val left = controlHosts.indexOfFirst { it !in down }
        down.forEach(deployment::kill)
        val atMillis = nowMillis()
        val read = deployment.administer(left, HttpCall(CONFIGURATION_PATH))
        val change = """{"type":"set-upstream","upstream":"spare","inService":false}"""
        val request = """{"operationId":"while-down","change":$change}"""
        val changed = deployment.administer(left, HttpCall("/v1/changes", "POST", body = request))
        expectThat(listOf(read, changed)).all { get { status }.isGreaterThanOrEqualTo(400) }
        awaitInForceBound(atMillis)
        val before = deployment.startedRequests(engines)
        val refused = List(SERVED_BETWEEN_STEPS) { deployment.chat(it % entries.size) }
        refused.forEach { expectRefused(it, "ControlUnavailable", "NotRun") }
        expectThat(deployment.startedRequests(engines)).isEqualTo(before)
        deployment.start(down.first())
        deployment.awaitServing()
        val numberAfter = makeHarmlessChange()
        // A refusal with `NotRun` rules out that the change was accepted: only the change made above may be counted.
        val unaccounted = numberAfter - numberBefore - 1
        expectThat(unaccounted).isLessThanOrEqualTo(if ("\"NotRun\"" in changed.body) 0 else 1)
    }

    @Test
    fun `a request that crashes engines is quarantined after a few crashes and others are served`() {
        val crashing = deployment.chatCall(text = CRASH_TEXT)
        var crashes = 0
        val answers =
            List(CRASHING_REQUESTS) { round ->
                engines.forEach { deployment.faults(it, """{"crashText":"$CRASH_TEXT"}""") }
                val answer = deployment.call(round % entries.size, crashing)
                crashes += engines.count { engine -> deployment.resultOrNull { deployment.counters(engine) } == null }
                deployment.restore()
                answer
            }
        deployment.expectAccurateOutcomes(answers)
        expectThat(answers.first().execution).isEqualTo("MayHaveRun")
        expectRefused(answers.last(), "Quarantined", "NotRun")
        // The last admitted request may be retried on a second engine before that agent is notified of the crashes.
        expectThat(crashes).isLessThanOrEqualTo(QuarantineSettings().deathsToQuarantine + 1)
        expectThat(List(SERVED_BETWEEN_STEPS) { deployment.chat(it % entries.size) }).all {
            get { status }.isEqualTo(OK)
        }
    }

    /** Makes a change that affects no test and returns its number. */
    private fun makeHarmlessChange(): Long =
        deployment.change(ConfigurationChange.SetUpstream(UpstreamId("spare"), inService = false))

    private fun configuration(): Configuration {
        var read: HttpAnswer? = null
        deployment.until("a read of the configuration") {
            read =
                controlHosts.indices
                    .mapNotNull { host ->
                        deployment.resultOrNull { deployment.administer(host, HttpCall(CONFIGURATION_PATH)) }
                    }.find { it.status == OK }
            read != null
        }
        return json.decodeFromString(checkNotNull(read).body)
    }

    /** Waits until the agent of one of [upstreams] reports a running request and returns its upstream. */
    private fun awaitRunningRequest(upstreams: List<String>): String {
        var running: String? = null
        deployment.until("a request running on one of $upstreams") {
            running =
                deployment
                    .announcements()
                    .find { it.upstream.value in upstreams && it.load.running > 0 }
                    ?.upstream
                    ?.value
            running != null
        }
        return checkNotNull(running)
    }

    private fun awaitInForceBound(sinceMillis: Long) {
        deployment.until("the end of the bound") { nowMillis() - sinceMillis >= IN_FORCE_BOUND_MILLIS }
    }

    private fun nowMillis() = System.nanoTime() / NANOS_PER_MILLI
}
