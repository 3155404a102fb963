/*
 * Guards against a reference page of the error kinds that differs from the code.
 */
package io.carawaytrack.model

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.endsWith
import java.nio.file.Files
import java.nio.file.Path

class ErrorReferenceTest {
    @Test
    fun `the reference lists every kind with its status, retry hint and explanation`() {
        val rows =
            ErrorKind.entries.joinToString("\n") { kind ->
                val retry = if (kind.retryable) "yes" else "no"
                "| `$kind` | ${kind.status} | $retry | ${kind.explanation} |"
            }
        expectThat(Files.readString(Path.of("../docs/ERRORS.md"))).endsWith("$rows\n")
    }
}
