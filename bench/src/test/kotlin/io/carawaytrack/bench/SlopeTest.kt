/*
 * Tests the linear regression from which the capacity slopes are derived.
 */
package io.carawaytrack.bench

import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure

class SlopeTest {
    @Test
    fun `points on a line yield its slope without error`() {
        val line = fit(listOf(1.0, 2.0, 5.0, 9.0).map { Point(it, 3.0 * it + 4.0) })
        expectThat(line).isEqualTo(Line(slope = 3.0, intercept = 4.0, rootMeanSquareError = 0.0))
    }

    @Test
    fun `points of a single size are rejected`() {
        expectCatching { fit(listOf(Point(1.0, 1.0), Point(1.0, 2.0))) }.isFailure().isA<IllegalArgumentException>()
    }
}
