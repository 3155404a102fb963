/*
 * The program carawayctl: it reads the command line, runs the one command that it names and ends with an exit code
 * of ExitCode.kt.
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
    description = ["Drives carawaytrack over the administration API of its control hosts."],
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

/** Creates the parser of the command line. */
internal fun commandLine(): CommandLine = CommandLine(RootCommand()).apply {
    isCaseInsensitiveEnumValuesAllowed = true
    registerConverter(ModelVersion::class.java) { text ->
        ModelVersion.parse(text) ?: throw TypeConversionException("expected MODEL@VERSION, got $text")
    }
    commandSpec.usageMessage().exitCodeListHeading("Exit codes:%n")
    commandSpec.usageMessage().exitCodeList(ExitCode.entries.associate { " ${it.code}" to it.meaning })
}

/** Runs the command that [arguments] name and returns how it ended. */
internal suspend fun runCarawayctl(
    arguments: List<String>,
    surroundings: Surroundings,
): ExitCode {
    val commandLine = commandLine()
    val parse = commandLine::parseArgs
    val parsed =
        try {
            parse(arguments.toTypedArray())
        } catch (e: ParameterException) {
            surroundings.printError("carawayctl: ${e.message}")
            surroundings.printError("Try '${e.commandLine.commandSpec.qualifiedName()} --help'.")
            return ExitCode.Usage
        }
    val named = parsed.asCommandLineList().last()
    when {
        named.isUsageHelpRequested -> surroundings.printOut(named.usageMessage.trimEnd())
        named.isVersionHelpRequested ->
            surroundings.printOut(
                named.commandSpec
                    .root()
                    .version()
                    .joinToString(),
            )
        else -> return runCommand(commandLine, named, surroundings)
    }
    return ExitCode.Done
}

private suspend fun runCommand(
    root: CommandLine,
    named: CommandLine,
    surroundings: Surroundings,
): ExitCode {
    val action = named.commandSpec.userObject() as? Action
    if (action == null) {
        surroundings.printError("carawayctl: expected one of the commands ${named.subcommands.keys.joinToString()}")
        return ExitCode.Usage
    }
    val session = Session(root.getCommand<RootCommand>().options, surroundings)
    return action.run(session).mapBoth(
        success = { report -> report.exit.also { session.show(report) } },
        failure = { error -> error.exit.also { session.show(error) } },
    )
}

/** Runs carawayctl and ends the process with its exit code. */
public fun main(arguments: Array<String>) {
    (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger).level = Level.OFF
    val client = lazy { adminHttpClient() }
    val surroundings =
        Surroundings(
            transport = { request -> httpTransport(client.value)(request) },
            environment = System::getenv,
            readInput = { System.`in`.readBytes().decodeToString() },
            newOperationId = { UUID.randomUUID().toString() },
            printOut = { println(it) },
            printError = { System.err.println(it) },
        )
    val exit = runBlocking { runCarawayctl(arguments.toList(), surroundings) }
    if (client.isInitialized()) client.value.close()
    exitProcess(exit.code)
}
