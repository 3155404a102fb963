/*
 * Processes of a real deployment are killed, frozen and stopped while it serves. The stand-ins' counters tell what ran.
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
private const val RESENDS = 5
private const val CRASH_TEXT = "burst the boiler"
private const val MANY_CHANGES = 110
private const val SERVED_BETWEEN_STEPS = 5
private const val LONG_ANSWER_TOKENS = 2_000
private const val END_CHARACTERS = 300
private const val CREATED = 201
private const val NANOS_PER_MILLI = 1_000_000L
private const val CONFIGURATION_PATH = "/v1/configuration"

@ExtendWith(SharedDeployment::class)
internal class KillsTest(
    private val deployment: Deployment,
) {
    private val json = Json { ignoreUnknownKeys = true }

    @BeforeEach
    fun heal(): Unit = deployment.heal()

    @Test
    fun `a killed leading control host stops no chat and no change, and catches up from its folder`() {
        val leader = deployment.leader()
        ChatFlow(deployment).use { flow ->
            flow.awaitServed(SERVED_BETWEEN_STEPS)
            val before = touch()
            deployment.kill(leader)
            val without = touch()
            flow.awaitServed(SERVED_BETWEEN_STEPS)
            deployment.start(leader)
            // With one more host gone, a change is accepted only when the restarted one has caught up.
            val next = controlHosts.first { it != leader && it == deployment.leader() }
            deployment.kill(next)
            val caughtUp = touch()
            deployment.start(next)
            flow.awaitServed(SERVED_BETWEEN_STEPS)
            expectThat(
                listOf(before, without, caughtUp),
            ).isEqualTo(listOf(before, without, caughtUp).sorted().distinct())
            deployment.expectTruthful(flow.stop())
        }
    }

    @Test
    fun `a reservation whose entry is killed before the answer is not run again by a resend through another entry`() {
        services.forEach { deployment.faults(it, SLOW_SERVICE) }
        val before = deployment.started(services)
        val key = UUID.randomUUID().toString()
        deployment.inBackground { runCatching { deployment.reserve(0, key) } }
        runningOn(services)
        deployment.kill(entries[0])
        lateinit var resent: HttpAnswer
        deployment.until("an answer to the resend that stays") {
            resent = deployment.reserve(1, key)
            resent.errorKind != "InProgress"
        }
        if (resent.status == CREATED) {
            expectThat(resent.isRepeated).isTrue()
        } else {
            expectRefused(resent, "OutcomeUnknown", "MayHaveRun")
        }
        expectThat(deployment.started(services) - before).isEqualTo(1)
    }

    @Test
    fun `a killed agent's reservation is not repeated, its chat moves or is refused, and the next one gets work`() {
        services.forEach { deployment.faults(it, SLOW_SERVICE) }
        engines.forEach { deployment.faults(it, SLOW_ENGINE) }
        val reservedBefore = deployment.started(services)
        val key = UUID.randomUUID().toString()
        val reservation = deployment.inBackground { deployment.reserve(0, key) }
        val chat = deployment.inBackground { deployment.chat(0) }
        val service = runningOn(services)
        val engine = runningOn(engines)
        val earlier = deployment.announcements().first { it.upstream.value == engine }.incarnation
        listOf(service, engine).forEach { deployment.kill("agent-$it") }
        expectRefused(reservation.await(), "IncompleteAnswer", "MayHaveRun")
        deployment.expectTruthful(listOf(chat.await()))
        val resent = deployment.reserve(1, key)
        expectThat(resent.errorKind).isContainedIn(listOf("InProgress", "OutcomeUnknown"))
        expectThat(resent.execution).isEqualTo("MayHaveRun")
        expectThat(deployment.started(services) - reservedBefore).isLessThanOrEqualTo(1)
        engines.forEach { deployment.faults(it, "{}") }
        deployment.start("agent-$engine")
        deployment.until("$engine announced again") {
            deployment.announcements().any { it.upstream.value == engine && it.incarnation > earlier }
        }
        deployment.until("work on $engine") { entries.indices.any { deployment.chat(it).upstream == engine } }
    }

    @Test
    fun `an entry and an agent frozen while a zone goes out bring it no work after the bound`() {
        val frozenAgent = "agent-$ENGINE_A"
        val taken = listOf(ENGINE_A, STOCK_A)
        deployment.freeze(frozenAgent)
        val atAgent = List(SERVED_BETWEEN_STEPS) { deployment.inBackground { deployment.chat(1) } }
        deployment.freeze(entries[0])
        val atEntry = List(SERVED_BETWEEN_STEPS) { deployment.inBackground { deployment.chat(0) } }
        deployment.change(ConfigurationChange.SetZone(ZoneName(TAKEN_ZONE), inService = false))
        awaitBound(nowMillis())
        val before = taken.map { deployment.started(listOf(it)) }
        deployment.resume(frozenAgent)
        deployment.resume(entries[0])
        val late = (atAgent + atEntry).map(Future<HttpAnswer>::await)
        deployment.awaitServing()
        val afterwards = List(2 * SERVED_BETWEEN_STEPS) { deployment.chat(it % entries.size) }
        deployment.expectTruthful(late + afterwards)
        expectThat(taken.map { deployment.started(listOf(it)) }).isEqualTo(before)
        expectThat(afterwards).all { get { upstream }.isEqualTo(ENGINE_B) }
    }

    @Test
    fun `an agent and an entry that are stopped under slow readers cut no stream and exit with 0`() {
        val calls = entries.indices.map { index -> HttpExchange(deployment.addresses.callers[index]) }
        calls.forEach { it.send(deployment.chatCall(stream = true, tokens = LONG_ANSWER_TOKENS)) }
        val agent = "agent-" + calls.map { it.head() }.last().upstream
        val stopped = listOf(agent, entries[0])
        stopped.forEach(deployment::stop)
        deployment.until("$stopped no longer ready") { stopped.none(deployment::ready) }
        val ends = calls.map { call -> call.use { it.rest() } }.map { it.copy(body = it.body.takeLast(END_CHARACTERS)) }
        expectThat(ends).all {
            get { whole }.isTrue()
            get { body.trim() }.endsWith("data: [DONE]")
        }
        expectThat(stopped.map(deployment::exitCode)).all { isEqualTo(0) }
    }

    @Test
    fun `control hosts that are all killed after many changes come back with the last configuration`() {
        val last = List(MANY_CHANGES) { touch() }.last()
        val tables = configuration().tables
        controlHosts.forEach(deployment::kill)
        controlHosts.forEach(deployment::start)
        deployment.leader()
        expectThat(configuration()) {
            get { number }.isGreaterThanOrEqualTo(last)
            get { this.tables }.isEqualTo(tables)
        }
        expectThat(touch()).isGreaterThan(last)
        deployment.awaitServing()
    }

    @Test
    fun `with two control hosts down nothing is changed or placed, and all resumes when one is back`() {
        val numberBefore = touch()
        val down = listOf(deployment.leader(), controlHosts.first { it != deployment.leader() })
        val left = controlHosts.indexOfFirst { it !in down }
        down.forEach(deployment::kill)
        val atMillis = nowMillis()
        val read = deployment.administer(left, HttpCall(CONFIGURATION_PATH))
        val change = """{"operationId":"while-down","change":{"type":"set-upstream","upstream":"spare","inService":false}}"""
        val changed = deployment.administer(left, HttpCall("/v1/changes", "POST", body = change))
        expectThat(listOf(read, changed)).all { get { status }.isGreaterThanOrEqualTo(400) }
        awaitBound(atMillis)
        val before = deployment.started(engines)
        val refused = List(SERVED_BETWEEN_STEPS) { deployment.chat(it % entries.size) }
        refused.forEach { expectRefused(it, "ControlUnavailable", "NotRun") }
        expectThat(deployment.started(engines)).isEqualTo(before)
        deployment.start(down.first())
        deployment.awaitServing()
        val numberAfter = touch()
        // A refusal that says "not run" binds: only the change of this line may have come in between.
        val unaccounted = numberAfter - numberBefore - 1
        expectThat(unaccounted).isLessThanOrEqualTo(if ("\"NotRun\"" in changed.body) 0 else 1)
    }

    @Test
    fun `a request that crashes engines ends in quarantine after few deaths and others are served`() {
        val crashing = deployment.chatCall(text = CRASH_TEXT)
        var deaths = 0
        val answers =
            List(RESENDS) { round ->
                engines.forEach { deployment.faults(it, """{"crashText":"$CRASH_TEXT"}""") }
                val answer = deployment.call(round % entries.size, crashing)
                deaths += engines.count { engine -> deployment.reached { deployment.counters(engine) } == null }
                deployment.heal()
                answer
            }
        deployment.expectTruthful(answers)
        expectThat(answers.first().execution).isEqualTo("MayHaveRun")
        expectRefused(answers.last(), "Quarantined", "NotRun")
        // The last request that is let through may go on to a second engine before its agent hears of the deaths.
        expectThat(deaths).isLessThanOrEqualTo(QuarantineSettings().deathsToQuarantine + 1)
        expectThat(List(SERVED_BETWEEN_STEPS) { deployment.chat(it % entries.size) }).all {
            get { status }.isEqualTo(OK)
        }
    }

    /** Makes a change that harms nothing; returns its number. */
    private fun touch(): Long =
        deployment.change(ConfigurationChange.SetUpstream(UpstreamId("spare"), inService = false))

    private fun configuration(): Configuration {
        var read: HttpAnswer? = null
        deployment.until("a read of the configuration") {
            read =
                controlHosts.indices
                    .mapNotNull { host ->
                        deployment.reached { deployment.administer(host, HttpCall(CONFIGURATION_PATH)) }
                    }.find { it.status == OK }
            read != null
        }
        return json.decodeFromString(checkNotNull(read).body)
    }

    /** Waits until an agent of [upstreams] reports a running request; returns its upstream. */
    private fun runningOn(upstreams: List<String>): String {
        var found: String? = null
        deployment.until("a request running on one of $upstreams") {
            found =
                deployment
                    .announcements()
                    .find { it.upstream.value in upstreams && it.load.running > 0 }
                    ?.upstream
                    ?.value
            found != null
        }
        return checkNotNull(found)
    }

    private fun awaitBound(sinceMillis: Long) {
        deployment.until("the end of the bound") { nowMillis() - sinceMillis >= IN_FORCE_BOUND_MILLIS }
    }

    private fun nowMillis() = System.nanoTime() / NANOS_PER_MILLI
}
