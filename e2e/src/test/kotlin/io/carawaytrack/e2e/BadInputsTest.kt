/*
 * Invalid input at a real port or in a real settings file is refused with an accurate error and does not affect other
 * requests.
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
    private class InvalidCall(
        val name: String,
        val kind: String,
        val status: Int,
        val change: (HttpCall) -> HttpCall,
    )

    private val invalidCalls =
        listOf(
            InvalidCall(
                "an unknown key",
                "UnknownKey",
                401,
            ) { it.copy(headers = mapOf("Authorization" to "Bearer no-such")) },
            InvalidCall("a missing key", "MissingKey", 401) { it.copy(headers = emptyMap()) },
            InvalidCall("an unknown model", "UnknownModel", 404) { deployment.chatCall(model = "no-such") },
            InvalidCall("an unknown route", "UnknownRoute", 404) { it.copy(path = "/no-such") },
            InvalidCall("malformed JSON", "MalformedRequest", 400) { it.copy(body = """{"model": """) },
            InvalidCall(
                "a body over the limit",
                "BodyTooLarge",
                413,
            ) { it.copy(body = "x".repeat(BODY_LIMIT_BYTES + 1)) },
        )

    private class InvalidSettings(
        val command: String,
        val faults: Map<String, String>,
    )

    private val invalidSettings =
        listOf("caraway-entry", "caraway-agent", "caraway-control run").map { command ->
            InvalidSettings(
                command,
                mapOf("node" to "\"\"", "observability_address" to "\"nowhere\"", "drain_millis" to "-1"),
            )
        }

    @BeforeEach
    fun restoreDeployment(): Unit = deployment.restore()

    @TestFactory
    fun `an invalid call is refused with its kind and does not run`(): List<DynamicTest> = invalidCalls.map { case ->
        dynamicTest(case.name) {
            val before = deployment.startedRequests(engines)
            val answer = deployment.call(0, case.change(deployment.chatCall()))
            expectRefused(answer, case.kind, "NotRun")
            expectThat(answer.status).isEqualTo(case.status)
            expectThat(deployment.startedRequests(engines)).isEqualTo(before)
        }
    }

    @Test
    fun `a caller whose headers never end is disconnected and others are served`() {
        HttpExchange(deployment.addresses.callers[0]).use { slow ->
            val since = System.nanoTime()
            slow.send("POST $CHAT_PATH HTTP/1.1\r\nHost: loopback\r\nX-Slow: ")
            expectThat(deployment.chat(0).status).isEqualTo(OK)
            slow.readUntilClosed()
            val waitedMillis = (System.nanoTime() - since) / NANOS_PER_MILLI
            // Half of the common timeout tolerates a busy machine.
            expectThat(waitedMillis < WAIT_MILLIS / 2).isTrue()
        }
    }

    @Test
    fun `a caller that disconnects in mid-stream cancels its own request and no other`() {
        engines.forEach { deployment.faults(it, SLOW_ENGINE) }
        val other = HttpExchange(deployment.addresses.callers[0])
        other.send(deployment.chatCall(stream = true))
        val disconnecting = HttpExchange(deployment.addresses.callers[0])
        disconnecting.send(deployment.chatCall(stream = true, tokens = LONG_ANSWER_TOKENS))
        val head = disconnecting.readHead()
        other.readHead()
        disconnecting.close()
        deployment.until("the request cancelled on its engine") {
            val counts = deployment.counters(checkNotNull(head.upstream)).requests[head.requestId]?.counts
            counts?.cancelled == 1L
        }
        val answer = other.use { it.readBody() }
        expectThat(answer.complete).isTrue()
        expectThat(answer.body).contains("data: [DONE]")
    }

    @TestFactory
    fun `invalid settings stop the process with exit code 2 and a report of every fault`(): List<DynamicTest> =
        invalidSettings.map { case ->
            dynamicTest(case.command) {
                val name = "bad-" + case.command.substringBefore(' ')
                val file = deployment.folder.resolve("$name.toml")
                Files.write(file, case.faults.map { (key, value) -> "$key = $value" })
                val process = launch(deployment.folder, name, "${case.command} --settings $file")
                expectThat(process.exitCodeOf(name)).isEqualTo(SETTINGS_EXIT_CODE)
                val logText = Files.readString(deployment.folder.resolve("$name.log"))
                expectThat(logText).contains("secret_file = (missing)")
                case.faults.forEach { (key, value) -> expectThat(logText).contains("$key = ${value.trim('"')}") }
            }
        }

    @TestFactory
    fun `an unreadable link secret stops the process with exit code 2`(): List<DynamicTest> =
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
    fun `an unknown operator token is refused by every control host`() {
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
            expectThat(canLink(address, secret)).isTrue()
            expectThat(canLink(address, secret.reversed())).isFalse()
        }
    }

    private fun canLink(
        address: HostPort,
        secret: String,
    ): Boolean {
        val identity = PeerIdentity(NodeId("stranger"), NodeRole.Tool, ZoneName(DISABLED_ZONE))
        val shared = SharedSecret(secret.encodeToByteArray())
        return LinkHub(identity, shared) { System.nanoTime() / NANOS_PER_MILLI }.use { hub ->
            runBlocking { hub.connect(address) }.isOk
        }
    }
}
