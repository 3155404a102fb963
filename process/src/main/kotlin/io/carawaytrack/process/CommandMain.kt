/*
 * The way from `main` to a picocli command.
 */
package io.carawaytrack.process

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs [command] with [arguments] and ends the process with its exit code. */
@Suppress("SpreadOperator") // picocli takes its arguments in no other form
public fun runCommand(
    command: Any,
    arguments: Array<String>,
): Nothing = exitProcess(CommandLine(command).execute(*arguments))
