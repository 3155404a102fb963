/*
 * Text output of the commands that show what control answers.
 */
package io.carawaytrack.ctl

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path

private data class ViewCase(
    val command: String,
    val answer: String,
    val text: String,
)

private const val QUILL = """{"model":"quill","version":"1"}"""

private const val STATUS =
    """{"configurationNumber":7,"leader":"control-1",
    "control":[{"node":"control-1","leading":true,"term":3,"appliedIndex":9}],
    "holders":[
      {"node":"entry-1","role":"Entry","zone":"north","configurationNumber":7,"ageMillis":40},
      {"node":"agent-1","role":"Agent","zone":"south","configurationNumber":6,"ageMillis":900}],
    "upstreams":[
      {"upstream":"u-1","zone":"south","agentHost":"127.0.0.1","agentPort":1,"incarnation":1,"versions":[$QUILL],
       "load":{"permits":8,"running":2,"queuedTokens":50}},
      {"upstream":"u-2","zone":"north","agentHost":"127.0.0.1","agentPort":2,"incarnation":1,"versions":[$QUILL],
       "load":{"permits":8,"running":1},"leaving":true}],
    "zonesOut":["south"],"upstreamsOut":[],"versionStates":{"quill@1":"Draining"},
    "rollouts":[{"name":"spring","pool":"drafts","from":$QUILL,"to":{"model":"quill","version":"2"},"percent":5,
      "phase":"Paused"}]}"""

private val STATUS_TEXT =
    """
    configuration 7, held by 1 of 2 processes
    behind: agent-1 (south) at 6, last heard 900 ms ago

    CONTROL    LEADS  TERM  APPLIED
    control-1  yes    3     9

    ZONE   IN SERVICE  PROCESSES  UPSTREAMS  RUNNING  QUEUED TOKENS
    north  yes         1          1          1        0
    south  no          1          1          2        50

    VERSION  STATE     UPSTREAMS  RUNNING  QUEUED TOKENS
    quill@1  Draining  2          3        50

    UPSTREAM  ZONE   IN SERVICE  PERMITS  RUNNING  QUEUED TOKENS  VERSIONS
    u-1       south  no (zone)   8        2        50             quill@1
    u-2       north  leaving     8        1        0              quill@1

    ROLLOUT  POOL    FROM     TO       PERCENT  PHASE
    spring   drafts  quill@1  quill@2  5        Paused
    """.trimIndent()

private const val HISTORY =
    """[
    {"number":1,"operator":"dana","atMillis":0,"change":{"type":"apply-tables","tables":{}}},
    {"number":2,"operator":"dana","atMillis":1000,"change":{"type":"set-zone","zone":"north","inService":false}},
    {"number":3,"operator":"dana","atMillis":2000,"change":{"type":"set-version","version":$QUILL,"state":"Withdrawn"}},
    {"number":4,"operator":"eli","atMillis":3000,"change":{"type":"advance-rollout","name":"spring","phase":"Running",
      "percent":50}},
    {"number":5,"operator":"eli","atMillis":4000,"change":{"type":"rollback","number":2}}]"""

private val HISTORY_TEXT =
    """
    NUMBER  AT                    OPERATOR  CHANGE
    1       1970-01-01T00:00:00Z  dana      apply (0 routes, 0 pools)
    2       1970-01-01T00:00:01Z  dana      zone out north
    3       1970-01-01T00:00:02Z  dana      version quill@1 is Withdrawn
    4       1970-01-01T00:00:03Z  eli       rollout spring is Running at 50 %
    5       1970-01-01T00:00:04Z  eli       rollback 2
    """.trimIndent()

private const val BILLS =
    """[{"request":"r-1","organisation":"north","attempts":[$QUILL,{"model":"quill","version":"2"}],"promptTokens":4,
    "answerTokens":32,"cost":0.5}]"""

private val BILLS_TEXT =
    """
    REQUEST  ORGANISATION  VERSIONS              PROMPT TOKENS  ANSWER TOKENS  COST
    r-1      north         quill@1 then quill@2  4              32             0.5

    bills: 1, cost: 0.5
    """.trimIndent()

private val viewCases =
    listOf(
        ViewCase("status", STATUS, STATUS_TEXT),
        ViewCase("top --once", STATUS, STATUS_TEXT),
        ViewCase("history", HISTORY, HISTORY_TEXT),
        ViewCase("bills --organisation north", BILLS, BILLS_TEXT),
        ViewCase("bills --organisation north", "[]", "bills: 0, cost: 0.0"),
        ViewCase("configuration", """{"number":7}""", "configuration 7"),
    )

class ViewsTest {
    @TempDir
    lateinit var folder: Path

    @TestFactory
    fun `each view prints the answer of control as text`(): List<DynamicTest> = viewCases.map { case ->
        dynamicTest(case.command) {
            runTest {
                val control = fakeControl(folder, { answer(case.answer) })
                control.run(*case.command.split(' ').toTypedArray())
                expectThat(control.out.single()).isEqualTo(case.text)
            }
        }
    }
}
