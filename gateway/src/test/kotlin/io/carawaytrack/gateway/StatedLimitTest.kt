/*
 * When an upstream's stated limit begins and ends.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class StatedLimitTest {
    private class HeaderCase(
        val header: String?,
        val perSecond: Double?,
    )

    @TestFactory
    fun `a header states a limit only if it is a finite number that is not negative`() = listOf(
        HeaderCase("1.9", 1.9),
        HeaderCase(" 250 ", 250.0),
        HeaderCase("0", 0.1),
        HeaderCase(null, null),
        HeaderCase("", null),
        HeaderCase("-3", null),
        HeaderCase("NaN", null),
        HeaderCase("Infinity", null),
        HeaderCase("ten", null),
    ).map { case ->
        dynamicTest("header <${case.header}>") { expectThat(statedLimit(case.header)).isEqualTo(case.perSecond) }
    }

    private class Answer(
        val afterMillis: Long,
        val states: Double?,
        val ageMillis: Long = 0,
        val inForce: Double?,
    )

    private class AnswerCase(
        val name: String,
        vararg val answers: Answer,
    )

    @TestFactory
    fun `a limit holds for as long as the upstream states it`() = listOf(
        AnswerCase(
            "it rises and falls",
            Answer(0, states = 2.0, inForce = 2.0),
            Answer(300, states = 4.5, inForce = 4.5),
            Answer(300, states = 0.5, inForce = 0.5),
        ),
        AnswerCase(
            "an answer that was overtaken does not end it",
            Answer(0, states = 2.0, inForce = 2.0),
            Answer(20, states = null, inForce = 2.0),
            Answer(600, states = null, inForce = null),
        ),
        AnswerCase(
            "it holds while no answer arrives",
            Answer(0, states = 2.0, inForce = 2.0),
            Answer(60_000, states = 2.0, inForce = 2.0),
        ),
        AnswerCase(
            "an old report of another host changes nothing",
            Answer(0, states = 3.0, inForce = 3.0),
            Answer(10, states = 9.0, ageMillis = 400, inForce = 3.0),
            Answer(700, states = null, ageMillis = 900, inForce = 3.0),
        ),
    ).map { case ->
        dynamicTest(case.name) {
            var nowMillis = 10_000L
            val limit = StatedLimit { nowMillis }
            case.answers.forEach { answer ->
                nowMillis += answer.afterMillis
                val before = limit.perSecond
                val changed = limit.apply(answer.states, answer.ageMillis)
                expectThat(limit.perSecond).isEqualTo(answer.inForce)
                expectThat(changed).isEqualTo((before == null) != (answer.inForce == null))
            }
        }
    }
}
