/*
 * The error table as callers see it: each kind has one status in the range that its meaning asks for.
 */
package io.carawaytrack.model

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isIn
import strikt.assertions.isNotBlank

class ErrorKindTest {
    @ParameterizedTest
    @EnumSource(ErrorKind::class)
    fun `every kind answers with a client or server error and an explanation`(kind: ErrorKind) {
        expectThat(kind.status).isIn(400..599)
        expectThat(kind.explanation).isNotBlank()
    }
}
