/*
 * The commands that change nothing: checks of files, views of what is in force, and helpers for operators.
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

/** Does what one command line asks for. */
internal interface Action {
    /** Returns what there is to say, or why it could not be done. */
    suspend fun run(session: Session): Result<Report, CtlError>
}

/** Names the two files of the tables. */
internal class TableFiles {
    @Parameters(index = "0", paramLabel = "ROUTES", description = ["File with the organisations and routes."])
    lateinit var routes: Path

    @Parameters(index = "1", paramLabel = "POOLS", description = ["File with the pools."])
    lateinit var pools: Path

    /** Reads and checks both files. */
    fun read(): Result<Tables, CtlError> =
        readTables(routes, pools).mapBoth({ Ok(it) }, { Err(CtlError.FaultyTables(it)) })
}

/** Counts the rows of sound tables. */
@Serializable
internal data class CheckReport(
    val organisations: Int,
    val routes: Int,
    val pools: Int,
)

@Command(name = "check", description = ["Checks both tables without asking control; names every fault with its line."])
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

@Command(name = "status", description = ["Shows what is in force where, who is behind, and what serves."])
internal class StatusCommand : Action {
    override suspend fun run(session: Session): Result<Report, CtlError> =
        session.client().andThen { it.status() }.map { Report<StatusReport>(it, statusText(it)) }
}

@Command(name = "configuration", description = ["Shows the tables that are in force, with the states of versions."])
internal class ConfigurationCommand : Action {
    override suspend fun run(session: Session): Result<Report, CtlError> =
        session.client().andThen { it.configuration() }.map { Report<Configuration>(it, configurationText(it)) }
}

@Command(name = "history", description = ["Lists the accepted changes with who asked for them."])
internal class HistoryCommand : Action {
    @Option(names = ["--from"], paramLabel = "N", defaultValue = "1", description = ["First number to list."])
    var from: Long = 1

    override suspend fun run(session: Session): Result<Report, CtlError> =
        session.client().andThen { it.history(from) }.map { Report<List<HistoryEntry>>(it, historyText(it)) }
}

@Command(name = "bills", description = ["Lists what an organisation is charged, one row a request."])
internal class BillsCommand : Action {
    @Option(names = ["--organisation"], required = true, paramLabel = "NAME", description = ["Whose bills to list."])
    lateinit var organisation: String

    override suspend fun run(session: Session): Result<Report, CtlError> = session
        .client()
        .andThen { it.bills(OrganisationName(organisation)) }
        .map { Report<List<Bill>>(it, billsText(it)) }
}

@Command(name = "top", description = ["Shows the status again and again until it has been shown often enough."])
internal class TopCommand : Action {
    @Option(names = ["--once"], description = ["Shows the status once and leaves the screen as it is."])
    var once: Boolean = false

    @Option(names = ["--refreshes"], paramLabel = "N", defaultValue = "3600", description = ["How often to show it."])
    var refreshes: Int = 1

    @Option(
        names = ["--interval-millis"],
        paramLabel = "MILLIS",
        defaultValue = "1000",
        description = ["Pause between."],
    )
    var intervalMillis: Long = 0

    override suspend fun run(session: Session): Result<Report, CtlError> {
        val client = session.client().getOrElse { return Err(it) }
        if (once) return client.status().map { Report<StatusReport>(it, statusText(it)) }
        repeat(refreshes - 1) {
            session.show(refreshed(client).getOrElse { return Err(it) })
            delay(intervalMillis)
        }
        return refreshed(client)
    }

    private suspend fun refreshed(client: AdminClient): Result<Report, CtlError> =
        client.status().map { Report<StatusReport>(it, CLEAR_SCREEN + statusText(it)) }
}

/** Holds the digest that the routes table takes for a key. */
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
        val key = session.surroundings.readInput().trim()
        if (key.isEmpty()) return usage("expected a key on the standard input, got none")
        val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
        val hex = digest.joinToString("") { "%02x".format(it) }
        return Ok(Report(KeyDigest(hex), hex))
    }
}

@Command(
    name = "explain",
    description = ["Tells what logs say of one request, in order, and what they don't say; * marks its own lines."],
)
internal class ExplainCommand : Action {
    @Parameters(index = "0", paramLabel = "ID", description = ["The identifier of the request's attempt."])
    lateinit var requestId: String

    @Parameters(index = "1", arity = "0..*", paramLabel = "FILE", description = ["Logs; the standard input if none."])
    var files: List<Path> = emptyList()

    override suspend fun run(session: Session): Result<Report, CtlError> {
        val lines =
            try {
                if (files.isEmpty()) session.surroundings.readInput().lines() else files.flatMap(Files::readAllLines)
            } catch (e: IOException) {
                return usage("expected readable logs, got $e")
            }
        val story = explain(requestId, lines.asSequence())
        return Ok(Report(story, storyText(story)))
    }
}

/** Holds a script for the shell. */
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
