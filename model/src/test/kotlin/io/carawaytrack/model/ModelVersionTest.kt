/*
 * Matches versions against the patterns that an organisation allows.
 */
package io.carawaytrack.model

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ModelVersionTest {
    @ParameterizedTest
    @CsvSource(
        "quill@1, true",
        "quill@*, true",
        "*@*, true",
        "*@1, true",
        "quill@2, false",
        "pen@1, false",
        "quill, false",
        "quill@1@1, false",
    )
    fun `a version matches a pattern if both parts match`(
        pattern: String,
        expected: Boolean,
    ) {
        expectThat(ModelVersion("quill", "1").matches(pattern)).isEqualTo(expected)
    }
}
