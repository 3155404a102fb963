/*
 * Which prompts are refused after upstreams crashed: in a history of crashes and answers, seen by one host or by two
 * that exchange reports. In all of them "d" is the part that crashes upstreams, if any part does.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.contentPart
import io.carawaytrack.fleet.isOrigin
import io.carawaytrack.model.UpstreamId
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class PromptQuarantineTest {
    private var nowMillis = 10_000L
    private var crashes = 0
    private val quarantine = PromptQuarantine { nowMillis }
    private val otherHost = PromptQuarantine { nowMillis }

    /**
     * Returns the traits of a request with [parts]. One that begins with # stands for its content; without any,
     * requests with the same parts have the same content.
     */
    private fun traits(parts: String): RequestTraits {
        val entries = parts.split(' ')
        val content = entries.find { it.startsWith('#') } ?: parts
        return RequestTraits(
            entries.filter(::isOrigin),
            entries.filterNot { isOrigin(it) || it.startsWith('#') },
        ) { contentPart(content) }
    }

    private fun PromptQuarantine.refuses(request: String) = refusedForMillis(traits(request)) != null

    /**
     * Lets an upstream crash [afterMillis] after the last event, with the [requests] of one host; the answers to those
     * that begin with ~ had gone on for some time.
     */
    private fun PromptQuarantine.crash(
        vararg requests: String,
        afterMillis: Long = 400,
    ) {
        nowMillis += afterMillis
        val suspects = requests.map { Suspect(traits(it.removePrefix("~")), answering = it.startsWith('~')) }
        recordCrash(UpstreamId("u${++crashes}"), startedAtMillis = 1, suspects)
        exchangeReports()
    }

    private fun PromptQuarantine.answer(
        prompt: String,
        afterMillis: Long = 100,
    ) {
        nowMillis += afterMillis
        recordAnswered(traits(prompt))
        exchangeReports()
    }

    private fun exchangeReports() = repeat(2) {
        quarantine.takeReport()?.let(otherHost::merge)
        otherHost.takeReport()?.let(quarantine::merge)
    }

    private class Case(
        val name: String,
        val refused: List<String>,
        val served: List<String>,
        val history: PromptQuarantineTest.() -> Unit,
    )

    private val cases =
        listOf(
            Case("nothing after two crashes", refused = emptyList(), served = listOf("a d 1")) {
                quarantine.crash("a d 1")
                quarantine.crash("b d 2")
            },
            Case("the part that all crashes have in common", listOf("a d 9", "d 9"), listOf("a 9", "b c 9")) {
                quarantine.crash("a d 1")
                quarantine.crash("b d 2")
                quarantine.crash("c d 3")
            },
            Case("the same request alone while no other one has its parts", listOf("a d 1"), listOf("a d 2", "d 1")) {
                repeat(3) { quarantine.crash("a d 1") }
            },
            Case("the part without one that came along and was answered", listOf("d 9"), listOf("a 9", "a 1")) {
                quarantine.crash("a d 1")
                quarantine.crash("a d 2")
                quarantine.answer("a 3")
                quarantine.crash("a d 4")
            },
            Case("the part without those of sound requests beside it", listOf("b d 9"), listOf("a 9", "b 9")) {
                quarantine.answer("a 0")
                quarantine.crash("a d 1", "a 2", "b 5")
                quarantine.crash("b d 3", "a 4")
                quarantine.crash("a d 6", "c 7")
            },
            Case("the part although a request with others was there each time", listOf("d 9"), listOf("x y 1")) {
                quarantine.crash("a d 1", "x y 1")
                quarantine.crash("a d 1", "x y 1")
                quarantine.crash("a d 1", "x y 1")
                quarantine.crash("b d 2")
            },
            Case("nothing when several upstreams crash at once", emptyList(), listOf("a 1")) {
                repeat(4) { quarantine.crash("a 1", afterMillis = 10) }
            },
            Case("nothing when answers were under way at the crashes", emptyList(), listOf("a 1", "a 9")) {
                repeat(4) {
                    quarantine.answer("a 0")
                    quarantine.crash("a ${1 + it}")
                }
            },
            Case(
                "each request of a route on which different ones crashed",
                listOf("$R #x1", "$R #x4"),
                listOf("$R #x5"),
            ) {
                repeat(4) { quarantine.crash("$R #x${1 + it}") }
            },
            Case("nothing after different requests of a route crashed twice", emptyList(), listOf("$R #x1", "$R #x2")) {
                repeat(2) { quarantine.crash("$R #x${1 + it}") }
            },
            Case("no request of a route that was there at some of the crashes", listOf("$R #x1"), listOf("$P #y1")) {
                quarantine.crash("$R #x1", "$P #y1")
                quarantine.crash("$R #x2")
                quarantine.crash("$R #x3", "$P #y3")
                quarantine.crash("$R #x4", "$P #y4")
            },
            Case("no request of a series that was answered later", listOf("$R #x1"), listOf("$R #s1")) {
                quarantine.crash("$R #x1", "$R #s1")
                quarantine.answer("$R #s1")
                quarantine.crash("$R #x2")
                quarantine.crash("$R #x3")
            },
            Case("no single request beside one harmful part", listOf("$R d 9"), listOf("$R #x1")) {
                repeat(4) { quarantine.crash("$R d $it") }
                quarantine.crash("$R #x1")
            },
            Case("a single request beside two that recur", listOf("$R #y", "$R #z", "$R #x1"), listOf("$R #x2")) {
                repeat(3) { quarantine.crash("$R #y") }
                repeat(3) { quarantine.crash("$R #z") }
                quarantine.crash("$R #x1")
            },
            Case("no requests of a route whose upstreams crashed at once", emptyList(), listOf("$R #x1")) {
                repeat(4) { quarantine.crash("$R #x${1 + it}", afterMillis = 10) }
            },
            Case("a caller whose requests all differ", listOf("$R $C #x9"), listOf("$R $OTHER #x9", "$P $PAYING #y9")) {
                quarantine.crash("$R $C #x1")
                repeat(2) { quarantine.crash("$R $C #x${2 + it}", "$P $PAYING #y$it") }
            },
            Case("a caller whose crashes and answers several hosts saw", listOf("$R $C #x9"), listOf("$R $OTHER #x9")) {
                quarantine.crash("$R $C #x1", "$R $OTHER #y1")
                repeat(3) { quarantine.answer("$R $C #s$it") }
                otherHost.crash("$R $C #x2")
                repeat(8) { otherHost.answer("$R $C #t$it") }
                quarantine.crash("$R $C #x3", "$R $OTHER #y3")
            },
            Case("no caller with many answers for each crash", listOf("$R $C #x1"), listOf("$R $C #x9")) {
                quarantine.crash("$R $C #x1")
                repeat(6) { quarantine.answer("$R $C #s$it", afterMillis = 600) }
                repeat(6) { otherHost.answer("$R $C #t$it", afterMillis = 600) }
                quarantine.crash("$R $C #x2")
                quarantine.crash("$R $C #x3")
            },
            Case("no caller with one harmful part", listOf("$R $C d 9"), listOf("$R $C #x9")) {
                repeat(5) { quarantine.crash("$R $C d $it") }
            },
            Case("no single prompt and no caller of prompts", emptyList(), listOf("$R $C a 1 x", "$R $C b 9 y")) {
                repeat(5) { quarantine.crash("$R $C a $it x", "$R $C b $it y", "$R $OTHER c $it z") }
                quarantine.answer("$R $C a b c x y z")
            },
            Case(
                "a request that comes again, though others with its parts are answered",
                refused = listOf("a b s #d", "#d", "x #d"),
                served = listOf("a b s #1", "a b #2"),
            ) {
                repeat(2) {
                    quarantine.crash("a b s #d")
                    quarantine.answer("a b s #$it", afterMillis = 900)
                }
                otherHost.crash("a b s #d")
                otherHost.answer("a b s #9")
            },
            Case(
                "a request of a caller, not the others of its caller, its route and its parts",
                refused = listOf("$D $SCRIBE a b s #d"),
                served = listOf("$D $SCRIBE a b s #1", "$D $SCRIBE a b s #9", "$D $SCRIBE x #9", "$D a #9"),
            ) {
                repeat(2) {
                    quarantine.crash("$D $SCRIBE a b s #d", "$D $SCRIBE a b s #1", "$D $SCRIBE x #2")
                    quarantine.answer("$D $SCRIBE a b #s$it", afterMillis = 900)
                }
                otherHost.crash("$D $SCRIBE a b s #d")
                otherHost.answer("$D $SCRIBE a b s #8")
            },
            Case(
                "a request without a prompt, not the others of its caller and its route",
                refused = listOf("$R $C #d"),
                served = listOf("$R $C #s0", "$R $C #9", "$R $OTHER #9", "$P $PAYING #9"),
            ) {
                repeat(2) {
                    quarantine.crash("$R $C #d", "$R $C #s$it")
                    quarantine.answer("$R $C #t$it", afterMillis = 900)
                }
                otherHost.crash("$R $C #d")
            },
            Case("a request after three crashes at two times", listOf("a #d"), listOf("a #1")) {
                quarantine.crash("a #d")
                quarantine.crash("a #d", afterMillis = 5)
                quarantine.crash("a #d", afterMillis = 2_200)
            },
            Case("no request that is answered between its crashes", emptyList(), listOf("a #1")) {
                repeat(2) { quarantine.crash("a #1") }
                otherHost.answer("a #1")
                quarantine.crash("a #1", afterMillis = 3_000)
            },
            Case("the request alone, not one that ran beside it at some crashes", listOf("a #d"), listOf("b #1")) {
                repeat(3) { quarantine.crash("a #d", "b #1") }
                quarantine.crash("a #d")
            },
            Case("the request alone, not one that was being answered each time", listOf("a #d"), listOf("b #1")) {
                repeat(3) { quarantine.crash("~b #1", "a #d") }
            },
            Case("a request whose answer had gone on before each crash", listOf("a #d"), listOf("a #1")) {
                repeat(3) { quarantine.crash("~a #d") }
            },
            Case("a request after crashes of many others", listOf("a #d"), listOf("a #1")) {
                repeat(2) { quarantine.crash("a #d") }
                repeat(100) { quarantine.crash("$it #y$it") }
                quarantine.crash("a #d")
            },
            Case("a request that comes again minutes later", listOf("a #d"), listOf("a #1")) {
                repeat(3) { quarantine.crash("a #d", afterMillis = 400_000) }
            },
            Case("a part whose crashes two hosts saw", listOf("c d 9"), listOf("c 9")) {
                quarantine.crash("a d 1")
                otherHost.crash("b d 2")
                quarantine.crash("c d 3")
            },
            Case("a part without one that only another host had answered", listOf("d 9"), listOf("a 9")) {
                otherHost.answer("a 0")
                quarantine.crash("a d 1")
                quarantine.crash("a d 2")
                quarantine.crash("a d 3")
            },
        )

    private companion object {
        const val R = "route:lookup"
        const val P = "route:pay"
        const val C = "caller:stalls/lookup"
        const val PAYING = "caller:stalls/pay"
        const val OTHER = "caller:scribes/lookup"
        const val D = "route:draft"
        const val SCRIBE = "caller:scribes/draft"
    }

    @TestFactory
    fun `a prompt part that crashes upstreams does not reach a fourth one, and sound prompts are served`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val history = PromptQuarantineTest()
                case.history(history)
                listOf(history.quarantine, history.otherHost).forEach { host ->
                    expectThat(case.refused.filter { host.refuses(it) }).isEqualTo(case.refused)
                    expectThat(case.served.filter { host.refuses(it) }).isEqualTo(emptyList())
                }
            }
        }

    @Test
    fun `a host that starts later refuses what the others refuse`() {
        repeat(3) { quarantine.crash("a$it d $it") }
        val started = PromptQuarantine { nowMillis }.apply { merge(quarantine.report()) }
        expectThat(started.refuses("e d 9")).isTrue()
    }

    /** Guards against hosts that learn of recent crashes only, and let a request in that the others refuse. */
    @Test
    fun `a host that starts later refuses a request whose crashes were long ago, unless it was answered`() {
        repeat(3) { quarantine.crash("a #d", "b #1", afterMillis = 200_000) }
        quarantine.answer("b #1")
        nowMillis += 200_000
        val started = PromptQuarantine { nowMillis }.apply { merge(quarantine.report()) }
        expectThat(started.refuses("a #d")).isTrue()
        expectThat(started.refuses("b #1")).isFalse()
    }

    /** Guards against a request that crashes several upstreams again each time its quarantine ends. */
    @Test
    fun `a request is tried once when its quarantine ends, and refused again after one more crash`() {
        repeat(3) { quarantine.crash("a #d") }
        nowMillis += 600_000
        expectThat(quarantine.refuses("a #d")).isFalse()
        quarantine.crash("a #d")
        expectThat(quarantine.refuses("a #d")).isTrue()
    }

    /** Guards against work for each request while no upstream has crashed. */
    @Test
    fun `the content of a request is not computed while nothing has crashed`() {
        var computed = 0
        val request = RequestTraits(listOf(R, C), emptyList()) { contentPart("x").also { computed++ } }
        quarantine.recordProgress(request)
        quarantine.recordAnswered(request)
        expectThat(quarantine.refusedForMillis(request)).isEqualTo(null)
        expectThat(quarantine.isActive).isFalse()
        expectThat(computed).isEqualTo(0)
    }

    @Test
    fun `a caller is served again after a pause that doubles with each crash`() {
        repeat(3) { quarantine.crash("$R $C #x$it") }
        listOf(10_000L, 20_000L, 40_000L).forEachIndexed { index, pauseMillis ->
            expectThat(quarantine.refusedForMillis(traits("$R $C #y"))).isEqualTo(pauseMillis)
            nowMillis += pauseMillis
            expectThat(quarantine.refuses("$R $C #y")).isFalse()
            quarantine.crash("$R $C #z$index", afterMillis = 0)
        }
    }

    @Test
    fun `a quarantine ends two minutes after the last crash`() {
        repeat(3) { quarantine.crash("a$it d $it") }
        nowMillis += 121_000
        expectThat(quarantine.refuses("e d 9")).isFalse()
    }
}
