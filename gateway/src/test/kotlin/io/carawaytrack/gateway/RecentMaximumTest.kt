/*
 * The highest value of a window, for counts that fall and rise.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RecentMaximumTest {
    private class Case(
        val name: String,
        val recorded: List<Pair<Long, Int>>,
        val atMillis: Long,
        val expected: Int,
    )

    @TestFactory
    fun `hosts that are no longer heard count until the window has passed`() = listOf(
        Case("nothing recorded", emptyList(), atMillis = 0, expected = 0),
        Case("fewer for a short time", listOf(0L to 8, 400L to 1), atMillis = 9_000, expected = 8),
        Case("fewer for long", listOf(0L to 8, 400L to 1), atMillis = 10_500, expected = 1),
        Case("fewer step by step", listOf(0L to 8, 5_000L to 6, 9_000L to 2), atMillis = 14_000, expected = 6),
        Case("more at once", listOf(0L to 1, 400L to 8), atMillis = 400, expected = 8),
        Case("the same for long", listOf(0L to 8), atMillis = 60_000, expected = 8),
    ).map { case ->
        dynamicTest(case.name) {
            var nowMillis = 0L
            val hosts = RecentMaximum(10_000) { nowMillis }
            case.recorded.forEach { (atMillis, value) ->
                nowMillis = atMillis
                hosts.record(value)
            }
            nowMillis = case.atMillis
            expectThat(hosts.value).isEqualTo(case.expected)
        }
    }
}
