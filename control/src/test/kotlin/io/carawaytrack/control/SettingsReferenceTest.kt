/*
 * Checks the settings reference and the example file against the code.
 */
package io.carawaytrack.control

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
    fun `the settings reference lists every setting`() {
        val rows = markdownRows(describeSettings { controlSettings() })
        expectThat(Files.readString(Path.of("../docs/SETTINGS.md"))).contains("$rows\n")
    }

    @Test
    fun `the example file is valid`() {
        expectThat(readSettings(Path.of("../examples/penmark/control.toml")) { controlSettings() }.getError()).isNull()
    }
}
