/*
 * Common parts of all commands: the shared options, access to control and to the process's environment, and the
 * printing of reports as text or JSON.
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

/** Environment variable that is used when `--control` is not given. */
internal const val CONTROL_VARIABLE = "CARAWAYCTL_CONTROL"

/** Environment variable that is used when `--token-file` is not given. */
internal const val TOKEN_FILE_VARIABLE = "CARAWAYCTL_TOKEN_FILE"

private val hostPattern = Regex("[A-Za-z0-9.-]+")

/** Lists the formats in which reports are printed. */
internal enum class OutputFormat { Text, Json }

/** Provides access to control, environment variables and standard streams, which tests replace. */
internal class CommandContext(
    val transport: AdminTransport,
    val environmentVariable: (String) -> String?,
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
    var output: OutputFormat = OutputFormat.Text

    @Option(
        names = ["--timeout-millis"],
        paramLabel = "MILLIS",
        defaultValue = "10000",
        scope = ScopeType.INHERIT,
        description = ["Longest wait for control, over all control hosts (default: \${DEFAULT-VALUE})."],
    )
    var timeoutMillis: Long = 0
}

/** Holds the result of a command as text and as JSON. */
internal class Report(
    val text: String,
    val json: String,
    val exit: ExitCode = ExitCode.Done,
)

/** Creates a report with [value] encoded as its JSON. */
internal inline fun <reified T> Report(
    value: T,
    text: String,
    exit: ExitCode = ExitCode.Done,
): Report = Report(text, reportJson.encodeToString(value), exit)

/** Encodes reports; default values are included, so that scripts find every field. */
internal val reportJson = Json { encodeDefaults = true }

/** Describes an error in JSON output. */
@Serializable
internal data class ErrorReport(
    val exitCode: Int,
    val message: String,
    val failure: Failure? = null,
    val faults: List<Fault> = emptyList(),
)

/** Holds the options and the context of one run of carawayctl. */
internal class Session(
    private val options: SharedOptions,
    val context: CommandContext,
) {
    /** Creates a client from the options. */
    fun client(): Result<AdminClient, CtlError> {
        val addresses = addresses().getOrElse { return Err(it) }
        val token = token().getOrElse { return Err(it) }
        if (options.timeoutMillis <=
            0
        ) {
            return usageError("--timeout-millis: expected a number above 0, got ${options.timeoutMillis}")
        }
        return Ok(AdminClient(AdminSettings(addresses, token, options.timeoutMillis), context.transport))
    }

    /** Prints [report] in the format that `--output` selects. */
    fun show(report: Report) {
        context.printOut(if (options.output == OutputFormat.Json) report.json else report.text)
    }

    /** Prints [error]: as JSON to the standard output, as text to the standard error. */
    fun show(error: CtlError) {
        if (options.output == OutputFormat.Json) {
            context.printOut(reportJson.encodeToString(error.toReport()))
            return
        }
        (error as? CtlError.FaultyTables)?.faults?.forEach { context.printError(it.toString()) }
        context.printError("carawayctl: ${error.message}")
    }

    private fun addresses(): Result<List<HostPort>, CtlError> {
        val fromEnvironment = context.environmentVariable(CONTROL_VARIABLE)?.split(',').orEmpty()
        val texts = options.control.ifEmpty { fromEnvironment }
        val addresses = texts.mapNotNull { HostPort.parse(it.trim()) }.filter { hostPattern.matches(it.host) }
        val valid = addresses.isNotEmpty() && addresses.size == texts.size
        return if (valid) {
            Ok(
                addresses,
            )
        } else {
            usageError("--control or $CONTROL_VARIABLE: expected host:port[,host:port...], got $texts")
        }
    }

    private fun token(): Result<String, CtlError> {
        val file =
            options.tokenFile
                ?: context.environmentVariable(TOKEN_FILE_VARIABLE)?.let(Path::of)
                ?: return usageError(
                    "--token-file or $TOKEN_FILE_VARIABLE: expected a file that holds the operator's token",
                )
        val token =
            try {
                Files.readString(file).trim()
            } catch (e: IOException) {
                return usageError("--token-file: expected a readable file, got $e")
            }
        return if (token.isEmpty()) {
            usageError("--token-file: expected a token in $file, got an empty file")
        } else {
            Ok(token)
        }
    }
}

/** Returns a usage error. */
internal fun usageError(message: String): Result<Nothing, CtlError> = Err(CtlError.Usage(message))

private fun CtlError.toReport() = ErrorReport(
    exitCode = exit.code,
    message = message,
    failure = (this as? CtlError.Refused)?.failure,
    faults = (this as? CtlError.FaultyTables)?.faults.orEmpty(),
)
