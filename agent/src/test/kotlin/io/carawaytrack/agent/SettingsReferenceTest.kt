/*
 * Checks the settings reference and the example settings file against the code.
 */
package io.carawaytrack.agent

import com.github.michaelbull.result.getError
import io.carawaytrack.tables.describeSettings
import io.carawaytrack.tables.markdownRows
import io.carawaytrack.tables.readSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isNull
import java.nio.file.Files
import java.nio.file.Path

class SettingsReferenceTest {
    @Test
    fun `the reference lists every setting as the code reads it`() {
        val rows = markdownRows(describeSettings { agentSettings() })
        expectThat(Files.readString(Path.of("../docs/SETTINGS.md"))).contains("$rows\n")
    }

    @Test
    fun `the example file is valid`() {
        expectThat(readSettings(Path.of("../examples/penmark/agent.toml")) { agentSettings() }.getError()).isNull()
    }
}
