/*
 * An answer on its way to the caller, read part by part; or collected first, where it must be rated before it is taken.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.wire.Usage
import java.io.ByteArrayOutputStream

/** Largest answer that is collected before it is passed on, in bytes. */
internal const val MAX_COLLECTED_BYTES = 8 * 1024 * 1024

internal interface Answer {
    val member: PoolMember
    val announcement: Announcement
    val head: AnswerEvent.Head

    /** What the attempt used; known once [next] has returned null. */
    val usage: Usage

    /** Returns the next part of the body, or null after the last one. */
    suspend fun next(): Result<AnswerEvent.Chunk?, Failure>

    /** Gives back [chunk], which the caller has taken, and makes room for more of the answer. */
    suspend fun consumed(chunk: AnswerEvent.Chunk)

    /** Calls [end] when the memory budget asks for the end of this answer. */
    fun onOverrun(end: () -> Unit)

    suspend fun cancel()

    /** Tells the agent that the outcome is in this entry's hands. */
    suspend fun settled()
}

internal val Answer.version: ModelVersion get() = member.version

/** An answer whose head has arrived; [onEnd] hears once whether the upstream is healthy, and the load it reported. */
internal class OpenAnswer(
    override val member: PoolMember,
    override val head: AnswerEvent.Head,
    private val attempt: Attempt,
    private val onEnd: (healthy: Boolean, load: UpstreamLoad?) -> Unit,
) : Answer {
    override val announcement: Announcement get() = attempt.announcement

    override var usage: Usage = Usage()
        private set

    override suspend fun next(): Result<AnswerEvent.Chunk?, Failure> = when (val event = attempt.next()) {
        is AnswerEvent.Chunk -> Ok(event)
        is AnswerEvent.End -> {
            usage = event.usage
            onEnd(true, event.load)
            Ok(null)
        }
        is AnswerEvent.Failed -> {
            onEnd(event.failure.kind != ErrorKind.UpstreamFailed, event.load)
            Err(event.failure)
        }
        is AnswerEvent.Head -> next()
    }

    override suspend fun consumed(chunk: AnswerEvent.Chunk): Unit = attempt.consumed(chunk)

    override fun onOverrun(end: () -> Unit): Unit = attempt.onOverrun(end)

    override suspend fun cancel() {
        onEnd(true, null)
        attempt.cancel()
    }

    override suspend fun settled(): Unit = attempt.settled()
}

/** An answer that has arrived whole. */
internal class CollectedAnswer(
    private val source: Answer,
    val body: ByteArray,
) : Answer by source {
    private var read = false

    override suspend fun next(): Result<AnswerEvent.Chunk?, Failure> {
        val part = if (read) null else AnswerEvent.Chunk(body, held = false)
        read = true
        return Ok(part)
    }

    override suspend fun consumed(chunk: AnswerEvent.Chunk): Unit = Unit

    override suspend fun cancel(): Unit = Unit
}

/** Reads the whole of [answer]; fails as it does, or when it is longer than [MAX_COLLECTED_BYTES]. */
internal suspend fun collected(answer: Answer): Result<CollectedAnswer, Failure> {
    val body = ByteArrayOutputStream()
    while (true) {
        val part = answer.next().getOrElse { return Err(it) } ?: break
        body.write(part.bytes)
        answer.consumed(part)
        if (body.size() > MAX_COLLECTED_BYTES) {
            answer.cancel()
            val detail = "expected an answer of at most $MAX_COLLECTED_BYTES bytes"
            return Err(Failure(ErrorKind.UpstreamFailed, Execution.MayHaveRun, detail))
        }
    }
    return Ok(CollectedAnswer(answer, body.toByteArray()))
}
