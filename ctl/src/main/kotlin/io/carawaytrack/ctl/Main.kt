/*
 * Main function of carawayctl: parses the command line, runs the command that it names, and exits with the code of its
 * outcome.
 */
package io.carawaytrack.ctl

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import com.github.michaelbull.result.mapBoth
import io.carawaytrack.model.ModelVersion
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.ParameterException
import picocli.CommandLine.ScopeType
import picocli.CommandLine.TypeConversionException
import java.util.UUID
import kotlin.system.exitProcess

@Command(
    name = "carawayctl",
    description = ["Administers carawaytrack through the administration API of its control hosts."],
    mixinStandardHelpOptions = true,
    version = ["carawayctl 0.1.0"],
    scope = ScopeType.INHERIT,
    subcommands = [
        CheckCommand::class,
        ApplyCommand::class,
        StatusCommand::class,
        ConfigurationCommand::class,
        ZoneCommand::class,
        UpstreamCommand::class,
        VersionCommand::class,
        RolloutCommand::class,
        HistoryCommand::class,
        RollbackCommand::class,
        BillsCommand::class,
        MemberCommand::class,
        KeyDigestCommand::class,
        ExplainCommand::class,
        TopCommand::class,
        CompletionCommand::class,
    ],
)
internal class RootCommand {
    @Mixin
    lateinit var options: SharedOptions
}

/** Creates the command-line parser. */
internal fun commandLine(): CommandLine = CommandLine(RootCommand()).apply {
    isCaseInsensitiveEnumValuesAllowed = true
    registerConverter(ModelVersion::class.java) { text ->
        ModelVersion.parse(text) ?: throw TypeConversionException("expected MODEL@VERSION, got $text")
    }
    commandSpec.usageMessage().exitCodeListHeading("Exit codes:%n")
    commandSpec.usageMessage().exitCodeList(ExitCode.entries.associate { " ${it.code}" to it.meaning })
}

/** Runs the command that [arguments] name and returns its exit code. */
internal suspend fun runCarawayctl(
    arguments: List<String>,
    context: CommandContext,
): ExitCode {
    val commandLine = commandLine()
    val parse = commandLine::parseArgs
    val parsed =
        try {
            parse(arguments.toTypedArray())
        } catch (e: ParameterException) {
            context.printError("carawayctl: ${e.message}")
            context.printError("Try '${e.commandLine.commandSpec.qualifiedName()} --help'.")
            return ExitCode.Usage
        }
    val selected = parsed.asCommandLineList().last()
    when {
        selected.isUsageHelpRequested -> context.printOut(selected.usageMessage.trimEnd())
        selected.isVersionHelpRequested ->
            context.printOut(
                selected.commandSpec
                    .root()
                    .version()
                    .joinToString(),
            )
        else -> return runCommand(commandLine, selected, context)
    }
    return ExitCode.Done
}

private suspend fun runCommand(
    root: CommandLine,
    selected: CommandLine,
    context: CommandContext,
): ExitCode {
    val action = selected.commandSpec.userObject() as? Action
    if (action == null) {
        context.printError("carawayctl: expected one of the commands ${selected.subcommands.keys.joinToString()}")
        return ExitCode.Usage
    }
    val session = Session(root.getCommand<RootCommand>().options, context)
    return action.run(session).mapBoth(
        success = { report -> report.exit.also { session.show(report) } },
        failure = { error -> error.exit.also { session.show(error) } },
    )
}

/** Runs carawayctl and exits the process with its exit code. */
public fun main(arguments: Array<String>) {
    (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).level = Level.OFF
    val client = lazy { adminHttpClient() }
    val context =
        CommandContext(
            transport = { request -> httpTransport(client.value)(request) },
            environmentVariable = System::getenv,
            readInput = { System.`in`.readBytes().decodeToString() },
            newOperationId = { UUID.randomUUID().toString() },
            printOut = { println(it) },
            printError = { System.err.println(it) },
        )
    val exit = runBlocking { runCarawayctl(arguments.toList(), context) }
    exitProcess(exit.code)
}
