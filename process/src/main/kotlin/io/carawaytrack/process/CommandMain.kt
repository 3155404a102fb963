/*
 * Runs a picocli command from `main`.
 */
package io.carawaytrack.process

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs [command] with [arguments] and exits with its exit code. */
@Suppress("SpreadOperator") // CommandLine.execute accepts its arguments only as varargs
public fun runCommand(
    command: Any,
    arguments: Array<String>,
): Nothing = exitProcess(CommandLine(command).execute(*arguments))
