/*
 * Tests replays of committed traces against their expected reports, and the models and checks behind the reports.
 */
package io.carawaytrack.replay

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText

class ReplayTest {
    private val traces = Path.of("traces")

    @TestFactory
    fun `replay of a committed trace produces its expected report`(): List<DynamicTest> =
        listOf("penmark-quiet", "sajha-quiet").map { name ->
            dynamicTest(name) {
                val trace = readTrace(traces.resolve("$name.jsonl")).getOrElse { error(it.detail) }
                val report = replay(trace, seed = 1, policyNames = setOf("strongest")).report
                expectThat(report.asJson().trim()).isEqualTo(traces.resolve("$name.outcome.json").readText().trim())
            }
        }

    private data class InvalidTrace(
        val name: String,
        val text: String,
        val line: Int,
    )

    private val header =
        """{"origin":"Recorded","deployment":"Sajha","scenario":"Peak","warmUpMillis":0,"endMillis":1000}"""

    private val invalidTraces =
        listOf(
            InvalidTrace("an empty file", "", 1),
            InvalidTrace(
                "a header of another format",
                header.replace("{\"origin", "{\"format\":\"other/1\",\"origin"),
                1,
            ),
            InvalidTrace("a line that is not a request", "$header\n{\"id\":1}", 2),
        )

    @TestFactory
    fun `readTrace reports the line of`(
        @TempDir folder: Path,
    ): List<DynamicTest> = invalidTraces.map { invalid ->
        dynamicTest(invalid.name) {
            val path = folder.resolve("trace.jsonl").also { it.writeText(invalid.text) }
            expectThat(readTrace(path).getError()?.line).isEqualTo(invalid.line)
        }
    }

    @Test
    fun `generateTrace is deterministic for a seed and writeTrace preserves the trace`(
        @TempDir folder: Path,
    ) {
        val trace = generateTrace(Deployment.Sajha, Scenario.Flood, seed = 5, lengthMillis = 200_000, warmUpMillis = 0)
        expectThat(generateTrace(Deployment.Sajha, Scenario.Flood, 5, 200_000, 0)).isEqualTo(trace)
        writeTrace(trace, folder.resolve("t"))
        expectThat(readTrace(folder.resolve("t")).getOrElse { error(it.detail) }).isEqualTo(trace)
        expectThat(trace.requests.count { it.flood }).isGreaterThan(0)
    }

    @Test
    fun `an engine slows down with concurrent streams and restarts when a cold start is overloaded`() {
        val events = EventQueue()
        val engine =
            EngineModel(EngineSpec(tokensPerSecond = 100.0, slowdownPerStream = 1.0, maxColdStreams = 1), events)
        val ends = mutableListOf<Pair<Long, Boolean>>()
        val submit = { engine.submit(EngineStream(0, 99, {}) { ends += events.nowMillis.toLong() to it }) }
        repeat(2) { submit() }
        events.run(10_000.0)
        expectThat(ends.toList()).isEqualTo(listOf(2_000L to true, 2_000L to true))
        engine.restart()
        ends.clear()
        repeat(2) { submit() }
        expectThat(ends.map { it.second }).isEqualTo(listOf(false, false))
        expectThat(engine.coldOverloads).isEqualTo(1)
    }

    @Test
    fun `the command writes a report and a plot and rejects an empty trace and an unknown scenario`(
        @TempDir folder: Path,
    ) {
        val plot = folder.resolve("plot.svg")
        val short = arrayOf("--warm-up-seconds", "5", "--seconds", "20", "--policy", "strongest")
        expectThat(replayCommandLine().execute(*short, "--output", "json", "--plot", "$plot")).isEqualTo(0)
        expectThat(plot.exists()).isTrue()
        val empty = folder.resolve("empty").also { it.writeText("") }
        expectThat(replayCommandLine().execute("--trace", "$empty")).isEqualTo(1)
        expectThat(replayCommandLine().execute("--scenario", "unknown")).isEqualTo(2)
    }

    private data class CostCase(
        val cost: Double,
        val quality: Double,
        val expected: Boolean,
    )

    @TestFactory
    fun `the cost target requires at most sixty percent of the cost and the target quality`(): List<DynamicTest> =
        listOf(CostCase(0.6, 0.9, true), CostCase(0.61, 0.9, false), CostCase(0.3, 0.79, false)).map { case ->
            dynamicTest("$case") {
                val current = measures("current", case.cost, case.quality)
                val inputs = mapOf("current" to current, "strongest" to measures("strongest", 1.0, 0.9))
                val check = checkTargets(TargetInputs(Scenario.Peak, inputs, reference = null)).single()
                expectThat(check.met).isEqualTo(case.expected)
            }
        }

    @Test
    fun `a target is not checked when the run it compares with is missing`() {
        val inputs = TargetInputs(Scenario.Peak, mapOf("current" to measures("current", 0.1, 0.9)), reference = null)
        expectThat(checkTargets(inputs).single().met).isEqualTo(null)
        expectThat(checkTargets(inputs).any { it.met == true }).isFalse()
    }

    @Test
    fun `the flood target is missed when a small organisation is unserved even with unchanged latency`() {
        val flooded = mapOf("current" to measures("current", 1.0, 0.9, unserved = 1))
        val inputs = TargetInputs(Scenario.Flood, flooded, reference = measures("current", 1.0, 0.9))
        expectThat(checkTargets(inputs).single().met).isEqualTo(false)
    }

    private fun measures(
        policy: String,
        cost: Double,
        quality: Double,
        unserved: Int = 0,
    ): Measures {
        val none = Quantiles(0, 0)
        val routes = listOf(RouteMeasures("draft", 1, targetQuality = 0.8, meanQuality = quality, meanCost = cost))
        return Measures(policy, 1, 0, 0, cost, none, none, none, unserved, none, 0, 0, 0, 0, 0.0, routes)
    }
}
