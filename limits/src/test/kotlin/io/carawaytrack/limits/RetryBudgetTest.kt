/*
 * Tests how many retries are granted for a number of recent requests.
 */
package io.carawaytrack.limits

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RetryBudgetTest {
    private data class Case(
        val name: String,
        val requests: Int,
        val laterMillis: Long,
        val granted: Int,
    )

    private val cases =
        listOf(
            Case("few requests allow the minimum", requests = 1, laterMillis = 0, granted = 2),
            Case("many requests allow their share", requests = 100, laterMillis = 0, granted = 10),
            Case("requests within the window count", requests = 100, laterMillis = 8_900, granted = 10),
            Case("requests before the window do not count", requests = 100, laterMillis = 10_000, granted = 2),
            Case("requests long before the window do not count", requests = 100, laterMillis = 10_000_000, granted = 2),
        )

    @TestFactory
    fun `retries are a share of recent requests`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            var nowMillis = 0L
            val settings = RetrySettings(retryRatio = 0.1, minRetries = 2, windowMillis = 10_000)
            val budget = RetryBudget(settings) { nowMillis }
            repeat(case.requests) { budget.recordRequest() }
            nowMillis += case.laterMillis
            expectThat((1..50).count { budget.tryAcquire() }).isEqualTo(case.granted)
        }
    }
}
