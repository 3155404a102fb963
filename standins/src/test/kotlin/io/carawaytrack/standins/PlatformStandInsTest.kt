/*
 * The HTTP interfaces of the rating and weight store stand-ins.
 */
package io.carawaytrack.standins

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isIn

class PlatformStandInsTest {
    private data class RatingCase(
        val name: String,
        val settings: RatingSettings,
        val answer: String,
        val status: Int,
        val ratingRange: ClosedFloatingPointRange<Double>,
    )

    private val ratingCases =
        listOf(
            RatingCase("the marker is read", RatingSettings(noise = 0.0), "[q=0.700] a letter", 200, 0.7..0.7),
            RatingCase("noise changes the rating", RatingSettings(noise = 0.05), "[q=0.700] a letter", 200, 0.4..1.0),
            RatingCase(
                "an answer without a marker gets the lowest rating",
                RatingSettings(noise = 0.0),
                "a letter",
                200,
                0.0..0.0,
            ),
            RatingCase("a rating may be missing", RatingSettings(missingRatio = 1.0), "[q=0.700]", 404, 0.0..0.0),
        )

    @TestFactory
    fun `answers are rated`(): List<DynamicTest> = ratingCases.map { case ->
        dynamicTest(case.name) {
            RatingStandIn(case.settings, AutoAdvancingClock().timing).use { standIn ->
                val body = """{"request":"r1","model":"quill","version":"1","answer":"${case.answer}"}"""
                val response = StandInClient(standIn.port).post("/rate", body)
                val rating = response.body().filter { it.isDigit() || it == '.' }.toDoubleOrNull() ?: 0.0
                expectThat(response.statusCode()).isEqualTo(case.status)
                expectThat(rating).isIn(case.ratingRange)
            }
        }
    }

    @Test
    fun `equal requests get equal ratings`() {
        val request = RatingRequest("r1", "quill", "1", "[q=0.700]")
        val ratings = List(3) { rate(RatingSettings(seed = 7), request) }
        expectThat(ratings.distinct().size).isEqualTo(1)
    }

    @Test
    fun `downloads above the limit are refused until the window has passed`() {
        val clock = AutoAdvancingClock()
        val settings = WeightSettings(downloadsPerWindow = 2, windowMillis = 1_500)
        WeightStandIn(settings, clock.timing).use { standIn ->
            val calls = StandInClient(standIn.port)
            val responses = List(3) { calls.get("/weights/quill/1") }
            expectThat(responses.map { it.statusCode() }).containsExactly(200, 200, 429)
            expectThat(
                responses
                    .last()
                    .headers()
                    .firstValue("Retry-After")
                    .get(),
            ).isEqualTo("2")
            clock.nowMillis.addAndGet(1_500)
            expectThat(calls.get("/weights/quill/1").statusCode()).isEqualTo(200)
            expectThat(standIn.counts).isEqualTo(WeightCounts(served = 3, refused = 1))
        }
    }
}
