/*
 * Checks that the reference page of carawayctl matches the program.
 */
package io.carawaytrack.ctl

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import picocli.CommandLine
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Model.OptionSpec
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.readLines

class ReferencePageTest {
    private val page = Path.of("..", "docs", "operations", "carawayctl.md").readLines()
    private val root = commandLine().commandSpec
    private val specs = allSpecs(root)

    /** Returns the rows of the table under [heading], without its header. */
    private fun rowsUnder(heading: String): String = page
        .dropWhile { it != heading }
        .drop(1)
        .takeWhile { !it.startsWith("#") }
        .filter { it.startsWith("|") }
        .drop(2)
        .joinToString("\n")

    private fun allSpecs(spec: CommandSpec): List<CommandSpec> = listOf(spec) +
        spec
            .subcommands()
            .values
            .map(CommandLine::getCommandSpec)
            .flatMap(::allSpecs)

    private fun commandRow(spec: CommandSpec): String {
        val words = listOf(spec.qualifiedName()) + spec.positionalParameters().map { it.paramLabel() }
        return "| `${words.joinToString(" ")}` | ${spec.usageMessage().description().joinToString(" ")} |"
    }

    private fun optionRows(): List<String> = specs
        .flatMap { spec -> spec.options().filterNot(::isGeneral).map { it to spec } }
        .groupBy({ (option, _) -> optionCells(option) }, { (_, spec) -> spec })
        .map { (cells, specs) -> "| ${cells.first()} | ${ownersText(specs)} | ${cells.last()} |" }

    private fun isGeneral(option: OptionSpec): Boolean =
        option.inherited() || option.usageHelp() || option.versionHelp()

    private fun optionCells(option: OptionSpec): List<String> {
        val label = if (option.arity().max() == 0) "" else " ${option.paramLabel()}"
        return listOf("`${option.longestName()}$label`", option.renderedDescription().joinToString(" "))
    }

    private fun ownersText(owners: List<CommandSpec>): String {
        val changes = specs.filter { it.userObject() is ChangeCommand }
        return when {
            root in owners -> "every command"
            owners.containsAll(changes) -> "every change"
            else -> owners.joinToString { "`${it.qualifiedName().substringAfter(' ')}`" }
        }
    }

    private fun OptionSpec.renderedDescription(): List<String> =
        description().map { it.replace("\${DEFAULT-VALUE}", defaultValue().orEmpty()) }

    @TestFactory
    fun `each table of the page matches the program`(): List<DynamicTest> = listOf(
        "## Commands" to specs.filter { it.subcommands().isEmpty() }.map(::commandRow),
        "## Options" to optionRows(),
        "## Exit codes" to ExitCode.entries.map { "| ${it.code} | ${it.name} | ${it.meaning} |" },
    ).map { (heading, rows) ->
        dynamicTest(heading) { expectThat(rowsUnder(heading)).isEqualTo(rows.joinToString("\n")) }
    }
}
