/*
 * The command line of the stand-ins: the reference page lists every option, and invalid arguments are rejected.
 */
package io.carawaytrack.standins

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.PrintWriter
import java.io.StringWriter
import java.nio.file.Path
import kotlin.io.path.readText

class CommandLineTest {
    private val page = Path.of("..", "docs", "STAND-INS.md").readText()

    @TestFactory
    fun `the reference page lists every option of a stand-in`(): List<DynamicTest> =
        standInCommandLine().subcommands.map { (name, command) ->
            dynamicTest(name) {
                val section = page.substringAfter("\n## $name\n").substringBefore("\n## ")
                val options = command.commandSpec.options().map { it.longestName() } - listOf("--help", "--port")
                options.forEach { expectThat(section).contains("`$it`") }
            }
        }

    private val cases =
        listOf(
            listOf("engine", "--models", "quill") to "model@version",
            listOf("engine", "--max-running", "many") to "--max-running",
            listOf("service", "--colour", "red") to "--colour",
            emptyList<String>() to "subcommand",
        )

    @TestFactory
    fun `invalid arguments are reported with exit code 2`(): List<DynamicTest> = cases.map { (arguments, text) ->
        dynamicTest(arguments.joinToString(separator = " ").ifEmpty { "no subcommand" }) {
            val errors = StringWriter()
            val exitCode = standInCommandLine().setErr(PrintWriter(errors)).execute(*arguments.toTypedArray())
            expectThat(exitCode).isEqualTo(2)
            expectThat(errors.toString()).contains(text)
        }
    }
}
