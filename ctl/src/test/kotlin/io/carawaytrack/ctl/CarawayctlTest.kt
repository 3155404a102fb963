/*
 * Command lines as operators type them: the requests that each sends to control, its output and its exit code.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Ok
import io.carawaytrack.model.ChangeRequest
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.IN_FORCE_BOUND_MILLIS
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.RolloutPhase
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.ZoneName
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.map
import strikt.assertions.single
import java.nio.file.Path

private val QUILL_1 = ModelVersion("quill", "1")
private val QUILL_2 = ModelVersion("quill", "2")

private fun advance(
    phase: RolloutPhase,
    percent: Int? = null,
) = ConfigurationChange.AdvanceRollout("spring", phase, percent)

private val changeCases =
    listOf(
        "zone out north" to ConfigurationChange.SetZone(ZoneName("north"), false),
        "zone in north" to ConfigurationChange.SetZone(ZoneName("north"), true),
        "upstream out u-1" to ConfigurationChange.SetUpstream(UpstreamId("u-1"), false),
        "upstream in u-1" to ConfigurationChange.SetUpstream(UpstreamId("u-1"), true),
        "version serve quill@1" to ConfigurationChange.SetVersion(QUILL_1, VersionState.Serving),
        "version drain quill@1" to ConfigurationChange.SetVersion(QUILL_1, VersionState.Draining),
        "version withdraw quill@1" to ConfigurationChange.SetVersion(QUILL_1, VersionState.Withdrawn),
        "rollout start spring --pool drafts --from quill@1 --to quill@2 --percent 5" to
            ConfigurationChange.SetRollout(
                Rollout("spring", PoolName("drafts"), QUILL_1, QUILL_2, 5, RolloutPhase.Running),
            ),
        "rollout advance spring --percent 50" to advance(RolloutPhase.Running, 50),
        "rollout pause spring" to advance(RolloutPhase.Paused),
        "rollout resume spring" to advance(RolloutPhase.Running),
        "rollout complete spring" to advance(RolloutPhase.Completed),
        "rollout rollback spring" to advance(RolloutPhase.RolledBack),
        "rollback 3" to ConfigurationChange.RollbackTo(3),
    )

private val viewCases =
    listOf(
        Triple("status", "/v1/status", adminJson.encodeToString(statusReport(listOf(7, 6)))),
        Triple("top --once", "/v1/status", adminJson.encodeToString(statusReport(listOf(7)))),
        Triple("configuration", "/v1/configuration", """{"number":7}"""),
        Triple("history", "/v1/history?from=1", "[]"),
        Triple("history --from 5", "/v1/history?from=5", "[]"),
        Triple("bills --organisation a&b", "/v1/bills?organisation=a%26b", "[]"),
    )

private val memberCases =
    listOf(
        "member add c4 127.0.0.1:7400" to """{"action":"Add","node":"c4","address":{"host":"127.0.0.1","port":7400}}""",
        "member promote c4" to """{"action":"Promote","node":"c4"}""",
        "member remove c1" to """{"action":"Remove","node":"c1"}""",
    )

private const val UNSERVED_ROUTE =
    """{"number":7,"versionStates":{"quill@1":"Withdrawn"},"tables":{
    "organisations":[{"name":"north","keySha256":[],"allows":["*@*"]}],
    "routes":[{"name":"draft","kind":"Model","methods":[],"pathPrefix":"/","organisations":["*"],"pool":"drafts"}],
    "pools":[{"name":"drafts","kind":"Model","members":[{"version":{"model":"quill","version":"1"}}]}]}}"""

private val finalKinds =
    listOf(ErrorKind.VersionConflict, ErrorKind.Unauthorized, ErrorKind.InvalidTables, ErrorKind.NotFound)

private val invalidCommandLines =
    listOf(
        "" to "expected one of the commands check",
        "zone" to "expected one of the commands out, in",
        "member add c4 nowhere" to "expected HOST:PORT, got nowhere",
        "zone out" to "Missing required parameter",
        "bills" to "Missing required option",
        "zone up north" to "Unmatched arguments",
        "version serve quill" to "expected MODEL@VERSION, got quill",
        "rollout start spring --pool drafts --from quill@1 --to quill@2" to "Missing required option",
        "rollout advance spring --percent 101" to "expected a number from 0 to 100, got 101",
        "status --control nowhere" to "expected host:port[,host:port...], got [nowhere]",
        "status --control 127.0.0.1:1,a/b:2" to "got [127.0.0.1:1, a/b:2]",
        "status --token-file /none/such" to "expected a readable file",
        "status --timeout-millis 0" to "expected a number above 0, got 0",
        "status --output xml" to "--output",
        "apply /none/routes.toml /none/pools.toml" to "a readable file in UTF-8",
    )

class CarawayctlTest {
    @TempDir
    lateinit var folder: Path

    private fun words(line: String): Array<String> = line.split(' ').filter(String::isNotEmpty).toTypedArray()

    @TestFactory
    fun `a change of the control group is sent as one request`(): List<DynamicTest> = memberCases.map { (line, sent) ->
        dynamicTest(line) {
            runTest {
                val control = fakeControl(folder, { answer("""{"node":"c4","action":"Add"}""") })
                expectThat(control.run(*words(line))).isEqualTo(ExitCode.Done)
                expectThat(control.requests).single().isEqualTo(
                    AdminRequest(HostPort("127.0.0.1", 1), "POST", "/v1/members", "secret-token", sent),
                )
            }
        }
    }

    @TestFactory
    fun `each change is sent once, with its operation id, base number and token`(): List<DynamicTest> =
        changeCases.map { (line, change) ->
            dynamicTest(line) {
                runTest {
                    val control = fakeControl(folder, { answer(ACCEPTED) })
                    expectThat(control.run(*words("$line --base 6 --operation-id op-9"))).isEqualTo(ExitCode.Done)
                    expectThat(control.out).containsExactly("configuration 7")
                    val request = control.requests.single { it.method == "POST" }
                    expectThat(request.copy(body = null)).isEqualTo(
                        AdminRequest(HostPort("127.0.0.1", 1), "POST", "/v1/changes", "secret-token"),
                    )
                    expectThat(adminJson.decodeFromString<ChangeRequest>(request.body.orEmpty()))
                        .isEqualTo(ChangeRequest("op-9", 6, change = change))
                }
            }
        }

    @TestFactory
    fun `each view requests its path and prints the answer of control as JSON`(): List<DynamicTest> =
        viewCases.map { (line, path, body) ->
            dynamicTest(line) {
                runTest {
                    val control = fakeControl(folder, { answer(body) })
                    expectThat(control.run(*words("$line --output json"))).isEqualTo(ExitCode.Done)
                    expectThat(control.requests).single().isEqualTo(
                        AdminRequest(HostPort("127.0.0.1", 1), "GET", path, "secret-token"),
                    )
                    val printed = reportJson.parseToJsonElement(control.out.single()).toString()
                    expectThat(printed).contains(body.removePrefix("{").removeSuffix("}").substringBefore(",\"zones"))
                }
            }
        }

    @TestFactory
    fun `an invalid command line exits with the usage code and sends nothing to control`(): List<DynamicTest> =
        invalidCommandLines.map { (line, message) ->
            dynamicTest("'$line'") {
                runTest {
                    val control = fakeControl(folder, { answer(ACCEPTED) })
                    expectThat(control.run(*words(line))).isEqualTo(ExitCode.Usage)
                    expectThat(control.errors.joinToString("\n")).contains(message)
                    expectThat(control.requests).isEmpty()
                }
            }
        }

    @Test
    fun `a change is retried with the same operation id when a host does not lead, fails or does not answer`() =
        runTest {
            val control =
                fakeControl(
                    folder,
                    { refusal(ErrorKind.NotLeader) },
                    { connectionRefused() },
                    { refusal(ErrorKind.StorageFailed) },
                    { awaitCancellation() },
                    { answer("""{"number":7,"repeated":true}""") },
                )
            expectThat(control.run("zone", "out", "north")).isEqualTo(ExitCode.Done)
            val changes = control.requests.filter { it.method == "POST" }
            expectThat(changes.map { it.address.port }).containsExactly(1, 2, 1, 2, 1)
            val change = """{"type":"set-zone","zone":"north","inService":false}"""
            expectThat(changes.map { it.body }.distinct())
                .containsExactly("""{"operationId":"op-1","change":$change}""")
            expectThat(control.out).containsExactly("configuration 7 (accepted before under this operation id)")
        }

    @TestFactory
    fun `unreachable control ends a command within its timeout and says how to retry the change`(): List<DynamicTest> =
        listOf<Pair<String, Answer>>(
            "no answer within 2000 ms" to { awaitCancellation() },
            "connection refused" to { connectionRefused() },
            "NotLeader: this control host does not lead" to { refusal(ErrorKind.NotLeader) },
            "Internal: an unexpected condition occurred" to { refusal(ErrorKind.Internal, Execution.MayHaveRun) },
            "answered 502 without a failure that can be decoded" to { Ok(AdminResponse(502, "<html>")) },
            "answered 200 with a body that cannot be decoded" to { answer("{}") },
        ).map { (reason, answer) ->
            dynamicTest(reason) {
                runTest {
                    val control = fakeControl(folder, answer)
                    val exit = control.run("zone", "out", "north", "--timeout-millis", "4500")
                    expectThat(exit).isEqualTo(ExitCode.Unreachable)
                    expectThat(currentTime).isLessThanOrEqualTo(4_500)
                    expectThat(control.errors.single())
                        .contains("within 4500 ms (127.0.0.1:1: $reason; 127.0.0.1:2: $reason)")
                        .contains("send it again with --operation-id op-1")
                }
            }
        }

    @Test
    fun `a short timeout is divided so that each host is tried`() = runTest {
        val control = fakeControl(folder, { awaitCancellation() })
        expectThat(control.run("status", "--timeout-millis", "1000")).isEqualTo(ExitCode.Unreachable)
        expectThat(control.requests.map { it.address.port }).containsExactly(1, 2)
    }

    @TestFactory
    fun `a refusal is final and reported with its kind`(): List<DynamicTest> = finalKinds.map { kind ->
        dynamicTest(kind.name) {
            runTest {
                val control = fakeControl(folder, { refusal(kind) })
                expectThat(control.run("rollback", "3")).isEqualTo(ExitCode.Refused)
                expectThat(control.requests).map { it.address.port }.containsExactly(1)
                expectThat(control.errors).containsExactly("carawayctl: refused: $kind: ${kind.explanation}")
                expectThat(control.run("rollback", "3", "--output", "json")).isEqualTo(ExitCode.Refused)
                val report = reportJson.decodeFromString<ErrorReport>(control.out.single())
                expectThat(report.failure?.kind).isEqualTo(kind)
            }
        }
    }

    @Test
    fun `waiting ends as soon as every process holds the change`() = runTest {
        val control =
            fakeControl(
                folder,
                { answer(ACCEPTED) },
                { statusAnswer(6, 7) },
                { connectionRefused() },
                { statusAnswer(7, 8) },
            )
        expectThat(control.run("zone", "out", "north", "--wait")).isEqualTo(ExitCode.Done)
        expectThat(control.out).containsExactly("configuration 7, in force everywhere")
        expectThat(currentTime).isLessThanOrEqualTo(1_000)
    }

    @TestFactory
    fun `waiting times out and reports the processes that are behind or the failed poll`(): List<DynamicTest> {
        val cases =
            listOf<Pair<String, Answer>>(
                "entry-2 (north) at 6, last heard 40 ms ago" to { statusAnswer(7, 6) },
                "no status within 5000 ms" to { awaitCancellation() },
                "refused: Unauthorized: a valid operator token is required" to { refusal(ErrorKind.Unauthorized) },
            )
        return cases.map { (reason, status) ->
            dynamicTest(reason) {
                runTest {
                    val control = fakeControl(folder, { answer(ACCEPTED) }, status)
                    expectThat(control.run("zone", "out", "north", "--wait")).isEqualTo(ExitCode.NotInForce)
                    expectThat(
                        control.out,
                    ).containsExactly("configuration 7, not in force everywhere after 5000 ms; $reason")
                    expectThat(currentTime).isEqualTo(IN_FORCE_BOUND_MILLIS)
                }
            }
        }
    }

    @TestFactory
    fun `an accepted change with an unknown name or an unserved route prints a warning`(): List<DynamicTest> = listOf(
        "zone out south" to "no process is in zone south",
        "upstream in u-9" to "no upstream u-9 is announced",
        "version drain quill@1" to "no upstream serves quill@1",
        "version withdraw quill@1" to
            "a route is left without an allowed serving version: routes:0: route[0].organisations[0] = *: " +
            "expected an organisation that allows one of: (no version is serving)",
    ).map { (line, warning) ->
        dynamicTest(line) {
            runTest {
                val control =
                    fakeControl(folder, { answer(ACCEPTED) }, { statusAnswer(7) }, { answer(UNSERVED_ROUTE) })
                expectThat(control.run(*words(line))).isEqualTo(ExitCode.Done)
                expectThat(control.out.single().lines()).contains("warning: $warning")
            }
        }
    }

    @Test
    fun `top shows the status as many times as requested, with a pause between`() = runTest {
        val control = fakeControl(folder, { statusAnswer(7) })
        expectThat(control.run("top", "--refreshes", "3", "--interval-millis", "400")).isEqualTo(ExitCode.Done)
        expectThat(control.out.size).isEqualTo(3)
        expectThat(currentTime).isEqualTo(800)
    }

    @Test
    fun `a key's digest is that of its text without the line break`() = runTest {
        val control = fakeControl(folder, { connectionRefused() }, input = "abc\n")
        expectThat(control.run("key-digest")).isEqualTo(ExitCode.Done)
        expectThat(control.out)
            .containsExactly("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")
    }

    @TestFactory
    fun `help, version and completion send nothing to control`(): List<DynamicTest> = listOf(
        "--help" to "Usage: carawayctl",
        "rollout start --help" to "Usage: carawayctl rollout start",
        "--version" to "carawayctl 0.1.0",
        "completion" to "complete -F _complete_carawayctl",
    ).map { (line, text) ->
        dynamicTest(line) {
            runTest {
                val control = FakeControl(emptyList())
                expectThat(control.run(*words(line))).isEqualTo(ExitCode.Done)
                expectThat(control.out.single()).contains(text)
            }
        }
    }
}
