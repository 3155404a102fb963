/*
 * Tests which upstream is chosen for an attempt.
 */
package io.carawaytrack.routing

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.random.Random

class UpstreamChooserTest {
    private data class Choice(
        val name: String,
        val upstreams: List<Announcement>,
        val expected: String,
        val configuration: Configuration = Configuration(),
        val request: ChoiceRequest = ChoiceRequest(small),
    )

    private val choices =
        listOf(
            Choice("the least loaded upstream", listOf(announced("u1", queuedTokens = 9), announced("u2")), "u2"),
            Choice(
                "a local upstream with more load before one in another zone",
                listOf(announced("u1", queuedTokens = 9), announced("u2", zone = "b")),
                "u1",
            ),
            Choice(
                "an upstream in another zone when the local one has far more load",
                listOf(announced("u1", queuedTokens = 900), announced("u2", zone = "b")),
                "u2",
            ),
            Choice(
                "an upstream in another zone when the local one is full",
                listOf(announced("u1", running = 4), announced("u2", zone = "b")),
                "u2",
            ),
            Choice(
                "no upstream that has refused the request",
                listOf(announced("u1"), announced("u2", zone = "b")),
                "u2",
                request = ChoiceRequest(small, excluded = setOf(UpstreamId("u1"))),
            ),
            Choice(
                "no upstream outside the allowed list",
                listOf(announced("u1"), announced("u2")),
                "u2",
                request = ChoiceRequest(small, allowed = listOf(UpstreamId("u2"))),
            ),
            Choice(
                "no upstream in a zone that is out of service",
                listOf(announced("u1"), announced("u2", zone = "b")),
                "u2",
                Configuration(zonesOut = setOf(ZoneName("a"))),
            ),
            Choice(
                "no upstream that is out of service itself",
                listOf(announced("u1"), announced("u2")),
                "u2",
                Configuration(upstreamsOut = setOf(UpstreamId("u1"))),
            ),
            Choice("no upstream that is leaving", listOf(announced("u1", leaving = true), announced("u2")), "u2"),
            Choice("one that serves the version", listOf(announced("u1", version = large), announced("u2")), "u2"),
            Choice(
                "none because all are full",
                listOf(announced("u1", running = 4), announced("u2", permits = 0)),
                "PoolExhausted",
            ),
            Choice(
                "none because none serves the version",
                listOf(announced("u1", version = large)),
                "NoHealthyUpstream",
            ),
        )

    @TestFactory
    fun `choose returns`(): List<DynamicTest> = choices.map { case ->
        dynamicTest(case.name) {
            val chooser = chooser()
            chooser.update(membership(*case.upstreams.toTypedArray()))
            expectThat(chooser.choose(case.configuration, case.request).text()).isEqualTo(case.expected)
        }
    }

    @Test
    fun `started attempts count against permits until they finish`() {
        val chooser = chooser()
        chooser.update(membership(announced("u1", permits = 1)))
        chooser.started(UpstreamId("u1"), tokens = 10)
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("PoolExhausted")
        chooser.finished(UpstreamId("u1"), tokens = 10, healthy = true)
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u1")
    }

    @Test
    fun `a reported load replaces the announced one`() {
        val chooser = chooser()
        chooser.update(membership(announced("u1"), announced("u2", queuedTokens = 50)))
        chooser.report(UpstreamId("u1"), UpstreamLoad(permits = 4, running = 1, queuedTokens = 100))
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u2")
    }

    @Test
    fun `an exhausted pool returns a retry hint`() {
        val chooser = chooser()
        chooser.update(membership(announced("u1", permits = 0)))
        val hint = chooser.choose(Configuration(), ChoiceRequest(small)).fold({ null }, { it.retryAfterMillis })
        expectThat(hint).isNotNull()
    }

    @Test
    fun `an incomplete membership adds and a complete one replaces`() {
        val chooser = chooser()
        chooser.update(membership(announced("u1"), number = 1))
        chooser.update(membership(announced("u2", queuedTokens = 5), number = 2, complete = false))
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u1")
        chooser.update(membership(announced("u2", queuedTokens = 5), number = 3))
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u2")
        chooser.update(membership(announced("u1"), number = 2))
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u2")
    }

    @Test
    fun `an upstream is ejected for a second after three consecutive failures and then probed with one request`() {
        val chooser = chooser()
        chooser.update(membership(announced("u1"), announced("u2", zone = "b")))
        repeat(3) { chooser.finished(UpstreamId("u1"), tokens = 0, healthy = false) }
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u2")
        clockMillis += 1_000
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u1")
        chooser.started(UpstreamId("u1"), tokens = 0)
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u2")
        chooser.finished(UpstreamId("u1"), tokens = 0, healthy = true)
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u1")
    }

    @Test
    fun `the only upstream is used even after failures`() {
        val chooser = chooser()
        chooser.update(membership(announced("u1")))
        repeat(5) { chooser.finished(UpstreamId("u1"), tokens = 0, healthy = false) }
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("u1")
    }

    @Test
    fun `a zone that returns to service regains its permits gradually`() {
        val chooser = chooser()
        val out = Configuration(zonesOut = setOf(ZoneName("a")))
        chooser.update(membership(announced("u1", permits = 4)))
        expectThat(chooser.choose(out, ChoiceRequest(small)).text()).isEqualTo("NoHealthyUpstream")
        val started =
            listOf(0L, 1_000L, 6_000L, 11_000L, 20_000L).map { atMillis ->
                clockMillis = atMillis
                generateSequence { chooser.choose(Configuration(), ChoiceRequest(small)).get() }
                    .onEach { chooser.started(it.upstream, tokens = 1) }
                    .count()
            }
        expectThat(started).isEqualTo(listOf(0, 1, 1, 1, 1))
    }

    @Test
    fun `an announcement does not discard attempts that were started after its load was read`() {
        val chooser = chooser()
        chooser.update(membership(announced("u1", permits = 2), number = 1))
        repeat(2) { chooser.started(UpstreamId("u1"), tokens = 1) }
        clockMillis += 400
        chooser.update(membership(announced("u1", permits = 2, running = 1), number = 2))
        expectThat(chooser.choose(Configuration(), ChoiceRequest(small)).text()).isEqualTo("PoolExhausted")
    }

    private var clockMillis = 0L

    private fun chooser() = UpstreamChooser(ZoneName("a"), nowMillis = { clockMillis }, random = Random(1))

    private fun Result<Announcement, Failure>.text(): String = fold({ it.upstream.value }, { it.kind.text() })

    private fun ErrorKind.text() = name
}
