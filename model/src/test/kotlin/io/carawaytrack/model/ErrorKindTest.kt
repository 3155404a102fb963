/*
 * Guards against an error kind without an HTTP error status or without an explanation.
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
    fun `every kind has the status of a client or server error and an explanation`(kind: ErrorKind) {
        expectThat(kind.status).isIn(400..599)
        expectThat(kind.explanation).isNotBlank()
    }
}
