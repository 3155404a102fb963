/*
 * A continuous load of chats, sequential at each entry, and the check that each chat was answered or refused with an
 * accurate execution status.
 */
package io.carawaytrack.e2e

import io.carawaytrack.e2e.Deployment.Companion.OK
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.ConcurrentLinkedQueue

private const val LOAD_ANSWER_TOKENS = 60

/** Sends chats to the entries with the indices [entryIndices] until it is stopped. */
internal class ChatLoad(
    private val deployment: Deployment,
    entryIndices: List<Int> = entries.indices.toList(),
) : AutoCloseable {
    private val answers = ConcurrentLinkedQueue<HttpAnswer>()

    @Volatile
    private var running = true
    private val senders = entryIndices.map { entry -> deployment.inBackground { sendChats(entry) } }

    private fun sendChats(entry: Int) {
        while (running) answers += deployment.call(entry, deployment.chatCall(tokens = LOAD_ANSWER_TOKENS))
    }

    fun awaitServed(count: Int) {
        val target = served() + count
        deployment.until("$count chats served") { served() >= target || senders.any { it.isDone } }
    }

    private fun served() = answers.count { it.status == OK }

    /** Stops the load and returns every answer; fails when a call ended without one. */
    fun stop(): List<HttpAnswer> {
        running = false
        senders.forEach { it.await() }
        return answers.toList()
    }

    override fun close() {
        running = false
    }
}

/** Expects that each of [answers] is complete, and that the counters confirm each refusal with `NotRun`. */
internal fun Deployment.expectAccurateOutcomes(answers: List<HttpAnswer>) {
    val counts = (engines + services).map(::counters)
    expectThat(answers).all {
        get { complete }.isTrue()
        assertThat("is served or names its error and execution status") {
            it.status == OK || (it.errorKind != null && it.execution != null)
        }
        assertThat("did not run on any upstream if reported as NotRun") { answer ->
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
        get { complete }.isTrue()
    }
}
