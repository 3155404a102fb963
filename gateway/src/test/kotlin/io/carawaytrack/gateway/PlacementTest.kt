/*
 * Selection among candidates by the demand of a request.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.UpstreamId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

class PlacementTest {
    private fun engine(
        id: String,
        load: Int = 0,
        sameZone: Boolean = true,
        cached: Set<String> = emptySet(),
        failureRatio: Double = 0.0,
        sinceAnnouncementMillis: Long = 0,
    ) = Candidate(
        UpstreamId(id),
        sameZone,
        load,
        slots = 64,
        engine = true,
        cached,
        failureRatio,
        sinceAnnouncementMillis,
    )

    private fun service(
        id: String,
        load: Int = 0,
        sameZone: Boolean = true,
    ) = Candidate(UpstreamId(id), sameZone, load, slots = 6, engine = false)

    private val short = PromptDemand(100, 100, listOf(PromptPart("own", 100)))
    private val long = PromptDemand(5_100, 100, listOf(PromptPart("subject", 5_000), PromptPart("own", 100)))

    private class Case(
        val name: String,
        val candidates: List<Candidate>,
        val demand: PromptDemand,
        val chosen: String?,
    )

    @TestFactory
    fun `a request is sent to the candidate with the lowest cost`(): List<DynamicTest> = listOf(
        Case("none without candidates", emptyList(), short, null),
        Case("to the less loaded engine", listOf(engine("a", load = 30), engine("b", load = 5)), short, "b"),
        Case(
            "to its own zone at similar loads",
            listOf(engine("a", load = 1, sameZone = false), engine("b", 2)),
            short,
            "b",
        ),
        Case(
            "to another zone when its own is overloaded",
            listOf(engine("a", load = 2, sameZone = false), engine("b", load = 60)),
            short,
            "a",
        ),
        Case(
            "to the engine that has its long prompt cached",
            listOf(engine("a"), engine("b", load = 10, sameZone = false, cached = setOf("subject")), engine("c")),
            long,
            "b",
        ),
        Case("away from a failing engine", listOf(engine("a", failureRatio = 0.4), engine("b", load = 30)), short, "b"),
        Case(
            "away from an engine with overdue announcements",
            listOf(engine("a", sinceAnnouncementMillis = 5_000), engine("b", 30)),
            short,
            "b",
        ),
        Case("to the service with a free slot", listOf(service("a", load = 6), service("b", 2, false)), short, "b"),
    ).map { case ->
        dynamicTest(case.name) {
            expectThat(selectCandidate(case.candidates, case.demand)?.id?.value).isEqualTo(case.chosen)
        }
    }

    @Test
    fun `hosts send the same shared prefix to the same engine without coordination`() {
        val engines = List(9) { engine("e$it") }
        repeat(50) { index ->
            val demand = PromptDemand(5_100, 10, listOf(PromptPart("s$index", 5_000), PromptPart("own", 100)))
            val places = List(8) { host -> selectCandidate(engines.shuffled(Random(host)), demand)?.id }.toSet()
            expectThat(places.size).isEqualTo(1)
        }
    }

    /** Simulates 3 s of 40 requests per second on nine engines and counts the prompt tokens that need prefill. */
    private fun prefilledTokens(choose: (List<Candidate>, PromptDemand) -> Candidate?): Int {
        val random = Random(7)
        val cached = List(9) { HashSet<String>() }
        var tokens = 0
        repeat(120) {
            val sharedPrefix = "s${random.nextInt(40)}"
            val demand = PromptDemand(5_100, 10, listOf(PromptPart(sharedPrefix, 5_000), PromptPart("own$it", 100)))
            val engines = List(9) { index -> engine("e$index", load = random.nextInt(10), cached = emptySet()) }
            val index =
                choose(engines, demand)!!
                    .id.value
                    .drop(1)
                    .toInt()
            tokens += if (cached[index].add(sharedPrefix)) 5_100 else 100
        }
        return tokens
    }

    @Test
    fun `shared prompts need less prefill than with the least loaded engine`() {
        val byCost = prefilledTokens(::selectCandidate)
        val byLoad = prefilledTokens { candidates, _ -> candidates.minByOrNull { it.load } }
        expectThat(byCost).isLessThan(byLoad / 2)
        expectThat(byLoad).isGreaterThan(0)
    }
}
