/*
 * Fake control hosts with scripted answers, and the context of a run against them.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HolderStatus
import io.carawaytrack.model.NodeId
import io.carawaytrack.model.NodeRole
import io.carawaytrack.model.StatusReport
import io.carawaytrack.model.ZoneName
import java.nio.file.Path
import kotlin.io.path.writeText

/** Returns one answer of a control host, or never returns. */
internal typealias Answer = suspend () -> Result<AdminResponse, NoResponse>

internal const val ACCEPTED = """{"number":7}"""

internal fun answer(body: String): Result<AdminResponse, NoResponse> = Ok(AdminResponse(200, body))

internal fun refusal(
    kind: ErrorKind,
    execution: Execution = Execution.NotRun,
): Result<AdminResponse, NoResponse> =
    Ok(AdminResponse(kind.status, adminJson.encodeToString(Failure.serializer(), Failure(kind, execution))))

internal fun connectionRefused(): Result<AdminResponse, NoResponse> = Err(NoResponse("connection refused"))

internal fun statusAnswer(vararg heldNumbers: Long): Result<AdminResponse, NoResponse> =
    answer(adminJson.encodeToString(StatusReport.serializer(), statusReport(heldNumbers.toList())))

internal fun statusReport(heldNumbers: List<Long>) = StatusReport(
    configurationNumber = 7,
    leader = NodeId("control-1"),
    control = emptyList(),
    holders =
        heldNumbers.mapIndexed { index, number ->
            HolderStatus(NodeId("entry-${index + 1}"), NodeRole.Entry, ZoneName("north"), number, 40)
        },
    upstreams = emptyList(),
    zonesOut = emptySet(),
    upstreamsOut = emptySet(),
    versionStates = emptyMap(),
    rollouts = emptyList(),
)

/** Runs carawayctl against control hosts that give [answers] in turn and then repeat the last one. */
internal class FakeControl(
    private val answers: List<Answer>,
    private val environmentVariables: Map<String, String> = emptyMap(),
    private val input: String = "",
) {
    val requests = mutableListOf<AdminRequest>()
    val out = mutableListOf<String>()
    val errors = mutableListOf<String>()

    suspend fun run(vararg arguments: String): ExitCode {
        val context =
            CommandContext(
                transport = { request ->
                    requests += request
                    answers[minOf(requests.size, answers.size) - 1]()
                },
                environmentVariable = environmentVariables::get,
                readInput = { input },
                newOperationId = { "op-1" },
                printOut = out::add,
                printError = errors::add,
            )
        return runCarawayctl(arguments.toList(), context)
    }
}

/** Creates control hosts that give [answers] in turn, and an operator whose token file is in [folder]. */
internal fun fakeControl(
    folder: Path,
    vararg answers: Answer,
    input: String = "",
): FakeControl {
    val tokenFile = folder.resolve("token").apply { writeText("secret-token\n") }
    val environmentVariables =
        mapOf(
            CONTROL_VARIABLE to "127.0.0.1:1,127.0.0.1:2",
            TOKEN_FILE_VARIABLE to tokenFile.toString(),
        )
    return FakeControl(answers.toList(), environmentVariables, input)
}
