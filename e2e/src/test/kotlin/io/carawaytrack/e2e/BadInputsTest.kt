/*
 * What comes in wrong at a real port or from a real settings file: it is refused truthfully and harms nobody else.
 */
package io.carawaytrack.e2e

import io.carawaytrack.e2e.Deployment.Companion.OK
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.ZoneName
import io.carawaytrack.wire.LinkHub
import io.carawaytrack.wire.PeerIdentity
import io.carawaytrack.wire.SharedSecret
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.extension.ExtendWith
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.nio.file.Files

private const val SETTINGS_EXIT_CODE = 2
private const val NANOS_PER_MILLI = 1_000_000L
private const val LONG_ANSWER_TOKENS = 2_000
private const val SLOW_ENGINE = """{"tokenSlowdown":100.0}"""

@ExtendWith(SharedDeployment::class)
internal class BadInputsTest(
    private val deployment: Deployment,
) {
    private class BadCall(
        val name: String,
        val kind: String,
        val status: Int,
        val change: (HttpCall) -> HttpCall,
    )

    private val badCalls =
        listOf(
            BadCall(
                "an unknown key",
                "UnknownKey",
                401,
            ) { it.copy(headers = mapOf("Authorization" to "Bearer no-such")) },
            BadCall("a missing key", "MissingKey", 401) { it.copy(headers = emptyMap()) },
            BadCall("an unknown model", "UnknownModel", 404) { deployment.chatCall(model = "no-such") },
            BadCall("an unknown route", "UnknownRoute", 404) { it.copy(path = "/no-such") },
            BadCall("malformed JSON", "MalformedRequest", 400) { it.copy(body = """{"model": """) },
            BadCall("a body over the limit", "BodyTooLarge", 413) { it.copy(body = "x".repeat(BODY_LIMIT_BYTES + 1)) },
        )

    private class BadSettings(
        val command: String,
        val faults: Map<String, String>,
    )

    private val badSettings =
        listOf("caraway-entry", "caraway-agent", "caraway-control run").map { command ->
            BadSettings(
                command,
                mapOf("node" to "\"\"", "observability_address" to "\"nowhere\"", "drain_millis" to "-1"),
            )
        }

    @BeforeEach
    fun heal(): Unit = deployment.heal()

    @TestFactory
    fun `a bad call is refused with its kind and runs nowhere`(): List<DynamicTest> = badCalls.map { case ->
        dynamicTest(case.name) {
            val before = deployment.started(engines)
            val answer = deployment.call(0, case.change(deployment.chatCall()))
            expectRefused(answer, case.kind, "NotRun")
            expectThat(answer.status).isEqualTo(case.status)
            expectThat(deployment.started(engines)).isEqualTo(before)
        }
    }

    @Test
    fun `a caller whose headers never end is disconnected and others are served`() {
        HttpExchange(deployment.addresses.callers[0]).use { slow ->
            val since = System.nanoTime()
            slow.send("POST $CHAT_PATH HTTP/1.1\r\nHost: loopback\r\nX-Slow: ")
            expectThat(deployment.chat(0).status).isEqualTo(OK)
            slow.untilClosed()
            val waitedMillis = (System.nanoTime() - since) / NANOS_PER_MILLI
            // Half of the common bound leaves room for a busy machine.
            expectThat(waitedMillis < WAIT_MILLIS / 2).isTrue()
        }
    }

    @Test
    fun `a caller that goes away in mid-stream ends the engine's work and nobody else's`() {
        engines.forEach { deployment.faults(it, SLOW_ENGINE) }
        val other = HttpExchange(deployment.addresses.callers[0])
        other.send(deployment.chatCall(stream = true))
        val leaving = HttpExchange(deployment.addresses.callers[0])
        leaving.send(deployment.chatCall(stream = true, tokens = LONG_ANSWER_TOKENS))
        val head = leaving.head()
        other.head()
        leaving.close()
        deployment.until("the engine's work cancelled") {
            val counts = deployment.counters(checkNotNull(head.upstream)).requests[head.requestId]?.counts
            counts?.cancelled == 1L
        }
        val answer = other.use { it.rest() }
        expectThat(answer.whole).isTrue()
        expectThat(answer.body).contains("data: [DONE]")
    }

    @TestFactory
    fun `wrong settings stop the process with exit code 2 and every fault named`(): List<DynamicTest> =
        badSettings.map { case ->
            dynamicTest(case.command) {
                val name = "bad-" + case.command.substringBefore(' ')
                val file = deployment.folder.resolve("$name.toml")
                Files.write(file, case.faults.map { (key, value) -> "$key = $value" })
                val process = launch(deployment.folder, name, "${case.command} --settings $file")
                expectThat(process.exitCodeOf(name)).isEqualTo(SETTINGS_EXIT_CODE)
                val said = Files.readString(deployment.folder.resolve("$name.log"))
                expectThat(said).contains("secret_file = (missing)")
                case.faults.forEach { (key, value) -> expectThat(said).contains("$key = ${value.trim('"')}") }
            }
        }

    @TestFactory
    fun `a link secret that cannot be read stops the process with exit code 2`(): List<DynamicTest> =
        mapOf("entry-1" to "caraway-entry", "agent-$ENGINE_A" to "caraway-agent", "control-1" to "caraway-control run")
            .map { (node, command) ->
                dynamicTest(node) {
                    val settings = Files.readString(deployment.folder.resolve("$node.toml"))
                    val file = deployment.folder.resolve("$node-no-secret.toml")
                    Files.writeString(file, settings.replace(Regex("secret_file = .*"), "secret_file = \"/no-such\""))
                    val name = "$node-no-secret"
                    val process = launch(deployment.folder, name, "$command --settings $file")
                    expectThat(process.exitCodeOf(name)).isEqualTo(SETTINGS_EXIT_CODE)
                    expectThat(Files.readString(deployment.folder.resolve("$name.log"))).contains("/no-such")
                }
            }

    @Test
    fun `a wrong operator token is refused by every control host`() {
        controlHosts.indices.forEach { host ->
            val answer = deployment.administer(host, HttpCall("/v1/status"), token = "no-such-token")
            expectThat(answer.status).isEqualTo(401)
            expectThat(answer.body).contains("Unauthorized")
        }
    }

    @Test
    fun `a peer with another link secret is refused by every control host`() {
        val secret = Files.readString(deployment.folder.resolve("secret")).trim()
        deployment.addresses.controlLinks.mapNotNull(HostPort::parse).forEach { address ->
            expectThat(links(address, secret)).isTrue()
            expectThat(links(address, secret.reversed())).isFalse()
        }
    }

    private fun links(
        address: HostPort,
        secret: String,
    ): Boolean {
        val identity = PeerIdentity(NodeId("stranger"), NodeRole.Tool, ZoneName(TAKEN_ZONE))
        return LinkHub(identity, SharedSecret(secret.encodeToByteArray())) { System.nanoTime() / NANOS_PER_MILLI }.use { hub ->
            runBlocking { hub.connect(address) }.isOk
        }
    }
}
