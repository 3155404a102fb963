/*
 * A steady flow of chats, one after the other at each entry, and the check that each was answered or truthfully
 * refused.
 */
package io.carawaytrack.e2e

import io.carawaytrack.e2e.Deployment.Companion.OK
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.ConcurrentLinkedQueue

private const val FLOW_TOKENS = 60

/** Sends chats to the entries numbered [at] until it is stopped. */
internal class ChatFlow(
    private val deployment: Deployment,
    at: List<Int> = entries.indices.toList(),
) : AutoCloseable {
    private val answers = ConcurrentLinkedQueue<HttpAnswer>()

    @Volatile
    private var going = true
    private val loops = at.map { entry -> deployment.inBackground { chatOn(entry) } }

    private fun chatOn(entry: Int) {
        while (going) answers += deployment.call(entry, deployment.chatCall(tokens = FLOW_TOKENS))
    }

    fun awaitServed(count: Int) {
        val wanted = served() + count
        deployment.until("$count chats served") { served() >= wanted || loops.any { it.isDone } }
    }

    private fun served() = answers.count { it.status == OK }

    /** Ends the flow and returns every answer; fails when a call ended without one. */
    fun stop(): List<HttpAnswer> {
        going = false
        loops.forEach { it.await() }
        return answers.toList()
    }

    override fun close() {
        going = false
    }
}

/** Expects that every one of [answers] is whole, or a refusal whose "not run" the counters confirm. */
internal fun Deployment.expectTruthful(answers: List<HttpAnswer>) {
    val counts = (engines + services).map(::counters)
    expectThat(answers).all {
        get { whole }.isTrue()
        assertThat("is served or says what went wrong") {
            it.status == OK || (it.errorKind != null && it.execution != null)
        }
        assertThat("ran nowhere when it says so") { answer ->
            answer.execution != "NotRun" || counts.none { (it.requests[answer.requestId]?.counts?.started ?: 0) > 0 }
        }
    }
}

internal fun expectRefused(
    answer: HttpAnswer,
    kind: String,
    execution: String,
) {
    expectThat(answer) {
        get { errorKind }.isEqualTo(kind)
        get { this.execution }.isEqualTo(execution)
        get { requestId }.isNotNull()
        get { whole }.isTrue()
    }
}
