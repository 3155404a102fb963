/*
 * Commands that change nothing: checks of files, views of the state that control reports, and helpers for operators.
 */
package io.carawaytrack.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import io.carawaytrack.model.Bill
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.HistoryEntry
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.StatusReport
import io.carawaytrack.model.Tables
import io.carawaytrack.tables.readTables
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import picocli.AutoComplete
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest

/** Moves the cursor to the top and clears the screen. */
private const val CLEAR_SCREEN = "\u001b[H\u001b[2J"

/** Implements one command. */
internal interface Action {
    /** Returns the report of the command, or why it failed. */
    suspend fun run(session: Session): Result<Report, CtlError>
}

/** Holds the parameters that name the two table files. */
internal class TableFiles {
    @Parameters(index = "0", paramLabel = "ROUTES", description = ["File with the organisations and routes."])
    lateinit var routes: Path

    @Parameters(index = "1", paramLabel = "POOLS", description = ["File with the pools."])
    lateinit var pools: Path

    /** Reads and checks both files. */
    fun read(): Result<Tables, CtlError> =
        readTables(routes, pools).mapBoth({ Ok(it) }, { Err(CtlError.FaultyTables(it)) })
}

/** Counts the rows of valid tables. */
@Serializable
internal data class CheckReport(
    val organisations: Int,
    val routes: Int,
    val pools: Int,
)

@Command(
    name = "check",
    description = ["Checks both tables without contacting control; reports every fault with its line."],
)
internal class CheckCommand : Action {
    @CommandLine.Mixin
    lateinit var files: TableFiles

    override suspend fun run(session: Session): Result<Report, CtlError> = files.read().map { tables ->
        val counts = CheckReport(tables.organisations.size, tables.routes.size, tables.pools.size)
        Report(
            counts,
            "sound: ${counts.organisations} organisations, ${counts.routes} routes, ${counts.pools} pools",
        )
    }
}

@Command(
    name = "status",
    description = ["Shows the configuration in force, the processes that are behind, and what serves."],
)
internal class StatusCommand : Action {
    override suspend fun run(session: Session): Result<Report, CtlError> =
        session.client().andThen { it.status() }.map { Report<StatusReport>(it, statusText(it)) }
}

@Command(name = "configuration", description = ["Shows the tables that are in force, with the states of versions."])
internal class ConfigurationCommand : Action {
    override suspend fun run(session: Session): Result<Report, CtlError> =
        session.client().andThen { it.configuration() }.map { Report<Configuration>(it, configurationText(it)) }
}

@Command(name = "history", description = ["Lists the accepted changes with the operators who made them."])
internal class HistoryCommand : Action {
    @Option(names = ["--from"], paramLabel = "N", defaultValue = "1", description = ["First number to list."])
    var from: Long = 1

    override suspend fun run(session: Session): Result<Report, CtlError> =
        session.client().andThen { it.history(from) }.map { Report<List<HistoryEntry>>(it, historyText(it)) }
}

@Command(name = "bills", description = ["Lists what an organisation is charged, one row a request."])
internal class BillsCommand : Action {
    @Option(
        names = ["--organisation"],
        required = true,
        paramLabel = "NAME",
        description = ["Organisation whose bills are listed."],
    )
    lateinit var organisation: String

    override suspend fun run(session: Session): Result<Report, CtlError> = session
        .client()
        .andThen { it.bills(OrganisationName(organisation)) }
        .map { Report<List<Bill>>(it, billsText(it)) }
}

@Command(name = "top", description = ["Shows the status repeatedly, as many times as --refreshes says."])
internal class TopCommand : Action {
    @Option(names = ["--once"], description = ["Shows the status once and leaves the screen as it is."])
    var once: Boolean = false

    @Option(
        names = ["--refreshes"],
        paramLabel = "N",
        defaultValue = "3600",
        description = ["Number of times to show it."],
    )
    var refreshes: Int = 1

    @Option(
        names = ["--interval-millis"],
        paramLabel = "MILLIS",
        defaultValue = "1000",
        description = ["Pause between two refreshes."],
    )
    var intervalMillis: Long = 0

    override suspend fun run(session: Session): Result<Report, CtlError> {
        val client = session.client().getOrElse { return Err(it) }
        if (once) return client.status().map { Report<StatusReport>(it, statusText(it)) }
        repeat(refreshes - 1) {
            session.show(refresh(client).getOrElse { return Err(it) })
            delay(intervalMillis)
        }
        return refresh(client)
    }

    private suspend fun refresh(client: AdminClient): Result<Report, CtlError> =
        client.status().map { Report<StatusReport>(it, CLEAR_SCREEN + statusText(it)) }
}

/** Holds the digest that stands for a key in the routes table. */
@Serializable
internal data class KeyDigest(
    val keySha256: String,
)

@Command(
    name = "key-digest",
    description = ["Reads a bearer key from the standard input and prints its SHA-256 digest."],
)
internal class KeyDigestCommand : Action {
    override suspend fun run(session: Session): Result<Report, CtlError> {
        val key = session.context.readInput().trim()
        if (key.isEmpty()) return usageError("expected a key on the standard input, got none")
        val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
        val hex = digest.joinToString("") { "%02x".format(it) }
        return Ok(Report(KeyDigest(hex), hex))
    }
}

@Command(
    name = "explain",
    description = ["Shows the log lines of one request in order, and what they lack; * marks its own lines."],
)
internal class ExplainCommand : Action {
    @Parameters(index = "0", paramLabel = "ID", description = ["The identifier of the request's attempt."])
    lateinit var requestId: String

    @Parameters(index = "1", arity = "0..*", paramLabel = "FILE", description = ["Logs; the standard input if none."])
    var files: List<Path> = emptyList()

    override suspend fun run(session: Session): Result<Report, CtlError> {
        val lines =
            try {
                if (files.isEmpty()) session.context.readInput().lines() else files.flatMap(Files::readAllLines)
            } catch (e: IOException) {
                return usageError("expected readable logs, got $e")
            }
        val timeline = explain(requestId, lines.asSequence())
        return Ok(Report(timeline, timelineText(timeline)))
    }
}

/** Holds a shell completion script. */
@Serializable
internal data class CompletionScript(
    val script: String,
)

@Command(name = "completion", description = ["Prints a completion script for bash and zsh."])
internal class CompletionCommand : Action {
    @Spec
    lateinit var spec: CommandSpec

    override suspend fun run(session: Session): Result<Report, CtlError> {
        val root = spec.root().commandLine()
        val script = AutoComplete.bash(root.commandName, root)
        return Ok(Report(CompletionScript(script), script))
    }
}
