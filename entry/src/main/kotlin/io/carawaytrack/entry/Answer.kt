/*
 * The answer to a request, read chunk by chunk, or collected first where it must be rated before it is accepted.
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

/** Maximum size of an answer that is collected before it is relayed. */
internal const val MAX_COLLECTED_BYTES = 8 * 1024 * 1024

internal interface Answer {
    val member: PoolMember
    val announcement: Announcement
    val head: AnswerEvent.Head

    /** Token usage of the attempt; known once [next] has returned null. */
    val usage: Usage

    /** Returns the next chunk of the body, or null after the last one. */
    suspend fun next(): Result<AnswerEvent.Chunk?, Failure>

    /** Releases [chunk] once the caller has received it, so that the agent may send more of the answer. */
    suspend fun release(chunk: AnswerEvent.Chunk)

    /** Registers [terminate], which is called when the memory budget requires this answer to end. */
    fun onMemoryExceeded(terminate: () -> Unit)

    suspend fun cancel()

    /** Notifies the agent that this entry is responsible for the outcome. */
    suspend fun notifySettled()
}

internal val Answer.version: ModelVersion get() = member.version

/**
 * An answer whose head has arrived and whose body is relayed as it arrives. Reports through [onEnd] whether the
 * upstream is healthy, and the load that it reported; only the first call counts.
 */
internal class RelayedAnswer(
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

    override suspend fun release(chunk: AnswerEvent.Chunk): Unit = attempt.release(chunk)

    override fun onMemoryExceeded(terminate: () -> Unit): Unit = attempt.onMemoryExceeded(terminate)

    override suspend fun cancel() {
        onEnd(true, null)
        attempt.cancel()
    }

    override suspend fun notifySettled(): Unit = attempt.notifySettled()
}

/** An answer that has been received completely. */
internal class CollectedAnswer(
    private val source: Answer,
    val body: ByteArray,
) : Answer by source {
    private var returned = false

    override suspend fun next(): Result<AnswerEvent.Chunk?, Failure> {
        val chunk = if (returned) null else AnswerEvent.Chunk(body, reserved = false)
        returned = true
        return Ok(chunk)
    }

    override suspend fun release(chunk: AnswerEvent.Chunk): Unit = Unit

    override suspend fun cancel(): Unit = Unit
}

/** Reads [answer] to its end; fails when the answer does or when its body exceeds [MAX_COLLECTED_BYTES]. */
internal suspend fun collect(answer: Answer): Result<CollectedAnswer, Failure> {
    val body = ByteArrayOutputStream()
    while (true) {
        val chunk = answer.next().getOrElse { return Err(it) } ?: break
        body.write(chunk.bytes)
        answer.release(chunk)
        if (body.size() > MAX_COLLECTED_BYTES) {
            answer.cancel()
            val detail = "expected an answer of at most $MAX_COLLECTED_BYTES bytes, got at least ${body.size()}"
            return Err(Failure(ErrorKind.UpstreamFailed, Execution.MayHaveRun, detail))
        }
    }
    return Ok(CollectedAnswer(answer, body.toByteArray()))
}
