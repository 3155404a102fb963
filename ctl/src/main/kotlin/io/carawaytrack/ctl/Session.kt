/*
 * What every command works with: the options that all of them share, the outside world, and the printing of reports
 * as text or JSON.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.tables.Fault
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import picocli.CommandLine.Option
import picocli.CommandLine.ScopeType
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Environment variable that stands in for `--control`. */
internal const val CONTROL_VARIABLE = "CARAWAYCTL_CONTROL"

/** Environment variable that stands in for `--token-file`. */
internal const val TOKEN_FILE_VARIABLE = "CARAWAYCTL_TOKEN_FILE"

private val hostForm = Regex("[A-Za-z0-9.-]+")

/** Names how reports are printed. */
internal enum class OutputForm { Text, Json }

/** Reaches the outside world. */
internal class Surroundings(
    val transport: AdminTransport,
    val environment: (String) -> String?,
    val readInput: () -> String,
    val newOperationId: () -> String,
    val printOut: (String) -> Unit,
    val printError: (String) -> Unit,
)

/** Holds the options that all commands share. */
internal class SharedOptions {
    @Option(
        names = ["--control"],
        paramLabel = "HOST:PORT",
        split = ",",
        scope = ScopeType.INHERIT,
        description = ["Administration addresses of the control hosts, separated by commas (or $CONTROL_VARIABLE)."],
    )
    var control: List<String> = emptyList()

    @Option(
        names = ["--token-file"],
        paramLabel = "FILE",
        scope = ScopeType.INHERIT,
        description = ["File that holds the operator's token (or $TOKEN_FILE_VARIABLE)."],
    )
    var tokenFile: Path? = null

    @Option(
        names = ["--output"],
        paramLabel = "FORM",
        defaultValue = "text",
        scope = ScopeType.INHERIT,
        description = ["text or json; json prints one object to the standard output, errors too."],
    )
    var output: OutputForm = OutputForm.Text

    @Option(
        names = ["--timeout-millis"],
        paramLabel = "MILLIS",
        defaultValue = "10000",
        scope = ScopeType.INHERIT,
        description = ["Longest wait for control, over all control hosts (default: \${DEFAULT-VALUE})."],
    )
    var timeoutMillis: Long = 0
}

/** Holds what a command has to say, in both forms. */
internal class Report(
    val text: String,
    val json: String,
    val exit: ExitCode = ExitCode.Done,
)

/** Creates a report whose JSON form is [value]. */
internal inline fun <reified T> Report(
    value: T,
    text: String,
    exit: ExitCode = ExitCode.Done,
): Report = Report(text, reportJson.encodeToString(value), exit)

/** Writes reports; defaults are written too, so that scripts find every field. */
internal val reportJson = Json { encodeDefaults = true }

/** Reports an error in JSON. */
@Serializable
internal data class ErrorReport(
    val exitCode: Int,
    val message: String,
    val failure: Failure? = null,
    val faults: List<Fault> = emptyList(),
)

/** Carries one run of carawayctl. */
internal class Session(
    private val options: SharedOptions,
    val surroundings: Surroundings,
) {
    /** Creates the client that the options describe. */
    fun client(): Result<AdminClient, CtlError> {
        val addresses = addresses().getOrElse { return Err(it) }
        val token = token().getOrElse { return Err(it) }
        if (options.timeoutMillis <=
            0
        ) {
            return usage("--timeout-millis: expected a number above 0, got ${options.timeoutMillis}")
        }
        return Ok(AdminClient(AdminSettings(addresses, token, options.timeoutMillis), surroundings.transport))
    }

    /** Prints [report] in the form that the options ask for. */
    fun show(report: Report) {
        surroundings.printOut(if (options.output == OutputForm.Json) report.json else report.text)
    }

    /** Prints [error]: as JSON to the standard output, as text to the standard error. */
    fun show(error: CtlError) {
        if (options.output == OutputForm.Json) {
            surroundings.printOut(reportJson.encodeToString(error.toReport()))
            return
        }
        (error as? CtlError.FaultyTables)?.faults?.forEach { surroundings.printError(it.toString()) }
        surroundings.printError("carawayctl: ${error.message}")
    }

    private fun addresses(): Result<List<HostPort>, CtlError> {
        val fromEnvironment = surroundings.environment(CONTROL_VARIABLE)?.split(',').orEmpty()
        val texts = options.control.ifEmpty { fromEnvironment }
        val addresses = texts.mapNotNull { HostPort.parse(it.trim()) }.filter { hostForm.matches(it.host) }
        val sound = addresses.isNotEmpty() && addresses.size == texts.size
        return if (sound) {
            Ok(
                addresses,
            )
        } else {
            usage("--control or $CONTROL_VARIABLE: expected host:port[,host:port...], got $texts")
        }
    }

    private fun token(): Result<String, CtlError> {
        val file =
            options.tokenFile
                ?: surroundings.environment(TOKEN_FILE_VARIABLE)?.let(Path::of)
                ?: return usage("--token-file or $TOKEN_FILE_VARIABLE: expected a file that holds the operator's token")
        val token =
            try {
                Files.readString(file).trim()
            } catch (e: IOException) {
                return usage("--token-file: expected a readable file, got $e")
            }
        return if (token.isEmpty()) usage("--token-file: expected a token in $file, got an empty file") else Ok(token)
    }
}

/** Creates an error of the command line. */
internal fun usage(message: String): Result<Nothing, CtlError> = Err(CtlError.Usage(message))

private fun CtlError.toReport() = ErrorReport(
    exitCode = exit.code,
    message = message,
    failure = (this as? CtlError.Refused)?.failure,
    faults = (this as? CtlError.FaultyTables)?.faults.orEmpty(),
)
