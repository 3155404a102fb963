/*
 * Logs of hosts, and the timeline that `carawayctl explain` builds from them.
 */
package io.carawaytrack.ctl

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single
import java.nio.file.Files
import java.nio.file.Path

private const val ID = "5f0e151560aba703"

class ExplainTest {
    private fun line(
        second: Int,
        node: String,
        event: String,
        vararg fields: Pair<String, String>,
    ): String {
        val all = listOf("timestamp" to "2026-08-21T04:05:%02d.5Z".format(second), "message" to event, "node" to node)
        return (all + fields).joinToString(",", "{", "}") { (name, value) -> "\"$name\":\"$value\"" }
    }

    private fun own(
        second: Int,
        event: String,
        vararg fields: Pair<String, String>,
    ) = line(second, "host-1", event, "requestId" to ID, *fields)

    private fun timelineOf(vararg lines: String) = explain(ID, lines.asSequence())

    @Test
    fun `a timeline has the request's lines and the events of its host and upstream, in order`() {
        val timeline =
            timelineOf(
                own(9, "request_ended", "status" to "502"),
                own(7, "attempt_failed", "upstream" to "u1"),
                line(1, "host-1", "view_adopted", "index" to "4"),
                line(3, "host-1", "upstream_changed", "upstream" to "u1"),
                line(3, "host-1", "upstream_changed", "upstream" to "u2"),
                line(6, "host-1", "upstream_gone", "upstream" to "u1"),
                line(6, "host-2", "peer_lost"),
                own(5, "request_placed", "upstream" to "u1"),
            )
        expectThat(timeline.lines.map { it.event }).isEqualTo(
            listOf(
                "view_adopted",
                "upstream_changed",
                "request_placed",
                "upstream_gone",
                "attempt_failed",
                "request_ended",
            ),
        )
        expectThat(timeline.missing).isEmpty()
    }

    private class Gap(
        val name: String,
        val lines: List<String>,
        val expected: String,
    )

    @TestFactory
    fun `what no line reports is listed with the likely reason`(): List<DynamicTest> = listOf(
        Gap("nothing read", emptyList(), "no line of a log was read"),
        Gap("an identifier that no line has", listOf(line(1, "host-1", "started")), "no line carries the identifier"),
        Gap(
            "a killed host",
            listOf(own(5, "request_placed"), line(6, "host-1", "started")),
            "host-1 started anew at 2026-08-21T04:05:06.500Z without having stopped",
        ),
        Gap(
            "a stopped host",
            listOf(own(5, "request_placed"), line(6, "host-1", "stopping"), line(8, "host-1", "started")),
            "host-1 was told to stop at 2026-08-21T04:05:06.500Z",
        ),
        Gap("the end of the log", listOf(own(5, "request_placed")), "the log of host-1 ends"),
        Gap(
            "dropped lines",
            listOf(own(5, "request_placed"), line(6, "host-1", "lines_dropped")),
            "host-1 dropped lines",
        ),
        Gap(
            "an upstream known from before",
            listOf(own(5, "attempt_failed", "upstream" to "u9"), own(6, "request_ended")),
            "no line says when upstream u9 was first known",
        ),
    ).map { gap ->
        dynamicTest(
            gap.name,
        ) { expectThat(explain(ID, gap.lines.asSequence()).missing).single().contains(gap.expected) }
    }

    @Test
    fun `lines of other programs and text before a line are ignored`() {
        val timeline =
            timelineOf("OpenJDK: warning", "{not json", "  5.1 host-1 " + own(5, "request_ended"), "{\"a\":1}")
        expectThat(timeline.lines.map { it.event }).isEqualTo(listOf("request_ended"))
    }

    @Test
    fun `the command reads files and marks the request's own lines`(
        @TempDir folder: Path,
    ) = runTest {
        val log = folder.resolve("host-1.log")
        Files.write(log, listOf(line(1, "host-1", "view_adopted"), own(5, "request_ended", "status" to "503")))
        val printed = ArrayList<String>()
        val exit = runCarawayctl(listOf("explain", ID, log.toString()), printing(printed))
        expectThat(exit).isEqualTo(ExitCode.Done)
        expectThat(printed.single().lines()).contains("* 2026-08-21T04:05:05.5Z host-1 request_ended status=503")
    }

    @Test
    fun `an unreadable log is a usage error`() = runTest {
        val exit = runCarawayctl(listOf("explain", ID, "no-such.log"), printing(ArrayList()))
        expectThat(exit).isEqualTo(ExitCode.Usage)
    }

    private fun printing(printed: MutableList<String>) = CommandContext(
        transport = { error("expected no request from explain, got one") },
        environmentVariable = { null },
        readInput = { "" },
        newOperationId = { "operation" },
        printOut = { printed += it },
        printError = {},
    )
}
