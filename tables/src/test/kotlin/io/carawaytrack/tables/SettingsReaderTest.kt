/*
 * Guards against invalid settings that are accepted, or reported without their line, key and expected value.
 */
package io.carawaytrack.tables

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import io.carawaytrack.model.HostPort
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.createDirectory
import kotlin.io.path.writeBytes
import kotlin.io.path.writeText

private data class Sample(
    val node: String,
    val zone: String?,
    val threads: Int,
    val bytes: Long,
    val verbose: Boolean,
    val tags: List<String>,
    val level: String,
    val listen: HostPort,
    val peers: List<HostPort>,
    val tokens: Map<String, String>,
)

private fun SettingsReader.sample() = Sample(
    text("node.id"),
    optionalText("node.zone"),
    int("node.threads", 1..64, 4),
    long("node.bytes", 0L..10_000_000_000L, 1_000L),
    flag("node.verbose", false),
    textList("node.tags", emptyList()),
    choice("node.level", setOf("info", "debug"), "info"),
    address("node.listen", HostPort("127.0.0.1", 7000)),
    addressList("node.peers", emptyList()),
    textTable("tokens"),
)

private data class FaultCase(
    val name: String,
    val toml: String,
    val faults: List<String>,
)

private const val KNOWN_KEYS =
    "node.bytes, node.id, node.level, node.listen, node.peers, node.tags, node.threads, node.verbose, node.zone, tokens"

private val faultCases =
    listOf(
        FaultCase("a missing key", "", listOf("0: node.id = (missing): expected a text that is not blank")),
        FaultCase("a blank text", "node.id = ' '", listOf("1: node.id =  : expected a text that is not blank")),
        FaultCase(
            "a text of the wrong type",
            "node.id = 7",
            listOf("1: node.id = 7: expected a text that is not blank"),
        ),
        FaultCase(
            "numbers out of range, each with its line",
            "[node]\nid = 'n'\nthreads = 0\nbytes = 99999999999",
            listOf(
                "3: node.threads = 0: expected a whole number from 1 to 64",
                "4: node.bytes = 99999999999: expected a whole number from 0 to 10000000000",
            ),
        ),
        FaultCase(
            "a fraction instead of a whole number",
            "node.id = 'n'\nnode.threads = 1.5",
            listOf("2: node.threads = 1.5: expected a whole number from 1 to 64"),
        ),
        FaultCase(
            "an invalid flag, choice and address",
            "node.id = 'n'\nnode.verbose = 'yes'\nnode.level = 'loud'\nnode.listen = 'here'",
            listOf(
                "2: node.verbose = yes: expected true or false",
                "3: node.level = loud: expected one of info, debug",
                "4: node.listen = here: expected an address such as 127.0.0.1:7000",
            ),
        ),
        FaultCase(
            "elements of lists, each with its own line",
            "node.id = 'n'\nnode.tags = [\n  'a',\n  3,\n]\nnode.peers = ['127.0.0.1:1', '127.0.0.1:99999']",
            listOf(
                "4: node.tags[1] = 3: expected a text that is not blank",
                "6: node.peers[1] = 127.0.0.1:99999: expected an address such as 127.0.0.1:7000",
            ),
        ),
        FaultCase(
            "a value instead of a list or a table",
            "node.id = 'n'\ntokens = 1\nnode.tags = 'a'",
            listOf(
                "2: tokens = 1: expected a table of texts",
                "3: node.tags = a: expected a list, each a text that is not blank",
            ),
        ),
        FaultCase(
            "an invalid entry of a table of texts",
            "node.id = 'n'\n[tokens]\na = 'x'\n\"b.c\" = 2",
            listOf("4: tokens.\"b.c\" = 2: expected a text that is not blank"),
        ),
        FaultCase(
            "an unknown key",
            "node.id = 'n'\nnode.zoen = 'a'",
            listOf("2: node.zoen = a: expected a known key: $KNOWN_KEYS"),
        ),
        FaultCase(
            "a value instead of a table of keys",
            "node = 'n'",
            listOf(
                "0: node.id = (missing): expected a text that is not blank",
                "1: node = n: expected a known key: $KNOWN_KEYS",
            ),
        ),
        FaultCase(
            "empty tables, one of which is known",
            "node.id = 'n'\n[tokens]\n[other]\n",
            listOf("3: other = (table): expected a known key: $KNOWN_KEYS"),
        ),
        FaultCase(
            "a syntax error and an invalid value, without the keys that may have been skipped",
            "node.threads = 0\nnode.id = = 'n'",
            listOf(
                "1: node.threads = 0: expected a whole number from 1 to 64",
                "2: (syntax) = node.id = = 'n': expected valid TOML (Unexpected '=', expected ', \", ''', \"\"\", " +
                    "a number, a boolean, a date/time, an array, or a table)",
            ),
        ),
    )

class SettingsReaderTest {
    @TempDir
    lateinit var folder: Path

    private val file by lazy { folder.resolve("node.toml") }

    @Test
    fun `a valid file yields its values and the defaults of omitted keys`() {
        file.writeText(
            """
            [node]
            id = "entry-1"
            threads = 8
            peers = ["127.0.0.1:1", "127.0.0.1:2"]
            tags = ["a"]
            [tokens]
            "10.0.0.1" = "x"
            """.trimIndent(),
        )
        val expected =
            Sample(
                node = "entry-1",
                zone = null,
                threads = 8,
                bytes = 1_000,
                verbose = false,
                tags = listOf("a"),
                level = "info",
                listen = HostPort("127.0.0.1", 7000),
                peers = listOf(HostPort("127.0.0.1", 1), HostPort("127.0.0.1", 2)),
                tokens = mapOf("10.0.0.1" to "x"),
            )
        expectThat(readSettings(file) { sample() }).isEqualTo(Ok(expected))
    }

    @TestFactory
    fun `each fault is reported with its line, key, value and the expected value`(): List<DynamicTest> =
        faultCases.map { case ->
            dynamicTest(case.name) {
                file.writeText(case.toml)
                expectThat(readSettings(file) { sample() }.getError().orEmpty().map(Fault::toString))
                    .isEqualTo(case.faults.map { "$file:$it" })
            }
        }

    @Test
    fun `a file that is missing, a directory or not UTF-8 is reported as one fault`() {
        val binary = folder.resolve("binary.toml").apply { writeBytes(byteArrayOf(-1, -2, 61)) }
        val directory = folder.resolve("directory.toml").createDirectory()
        listOf(file, binary, directory).forEach { unreadable ->
            val faults = readSettings(unreadable) { sample() }.getError().orEmpty()
            expectThat(faults.map { it.expected }).isEqualTo(listOf("a readable file in UTF-8"))
        }
    }
}
