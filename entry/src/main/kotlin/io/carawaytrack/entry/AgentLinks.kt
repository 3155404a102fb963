/*
 * The links from this entry to the agents, one for each, opened when first needed. Many attempts share a link; each has
 * its own credit, so that the entry never holds more of an answer than its window.
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
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.notRun
import io.carawaytrack.wire.AnswerChunk
import io.carawaytrack.wire.AnswerEnd
import io.carawaytrack.wire.AnswerFailed
import io.carawaytrack.wire.AnswerHead
import io.carawaytrack.wire.AttemptRefused
import io.carawaytrack.wire.AttemptSettled
import io.carawaytrack.wire.CancelAttempt
import io.carawaytrack.wire.Credit
import io.carawaytrack.wire.Header
import io.carawaytrack.wire.Link
import io.carawaytrack.wire.Message
import io.carawaytrack.wire.OpenAttempt
import io.carawaytrack.wire.Usage
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** What an attempt brings, in order: a head, chunks, and an end; or a failure at any point. */
internal sealed interface AnswerEvent {
    data class Head(
        val status: Int,
        val headers: List<Header>,
    ) : AnswerEvent

    /** [held] tells whether the bytes are accounted for in the memory budget. */
    class Chunk(
        val bytes: ByteArray,
        val held: Boolean,
    ) : AnswerEvent

    /** [load] is what the agent reported with the end. */
    data class End(
        val usage: Usage,
        val load: UpstreamLoad,
    ) : AnswerEvent

    /** [load] is null where the failure is this entry's own finding. */
    data class Failed(
        val failure: Failure,
        val load: UpstreamLoad? = null,
    ) : AnswerEvent
}

/** The entry's side of one attempt. */
internal interface Attempt {
    val announcement: Announcement

    suspend fun next(): AnswerEvent

    /** Gives back the memory of [chunk] and allows as many bytes more of the answer to be sent. */
    suspend fun consumed(chunk: AnswerEvent.Chunk)

    /** Calls [end] when the memory budget asks for the end of this stream. */
    fun onOverrun(end: () -> Unit)

    suspend fun cancel()

    /** Tells the agent that the outcome is committed. */
    suspend fun settled()
}

/** Builds the message that opens an attempt, once its number on the link is known. */
internal typealias BuildAttempt = (attempt: Long) -> OpenAttempt

internal class AgentLinks(
    private val scope: CoroutineScope,
    private val connect: suspend (HostPort) -> Result<Link, Failure>,
    private val memory: AnswerMemory,
) {
    private val agents = ConcurrentHashMap<UpstreamId, AgentConnection>()

    /** Sends an attempt to the agent of [announcement]. Fails with `NotRun` when the agent cannot be reached. */
    suspend fun open(
        announcement: Announcement,
        build: BuildAttempt,
    ): Result<Attempt, Failure> {
        val connection = agents.computeIfAbsent(announcement.upstream) { AgentConnection() }
        val link = connection.link(announcement).getOrElse { return Err(it) }
        return link.open(announcement, build)
    }

    private inner class AgentConnection {
        private val opening = Mutex()
        private var current: AgentLink? = null

        suspend fun link(announcement: Announcement): Result<AgentLink, Failure> = opening.withLock {
            val held = current
            if (held != null && held.usableFor(announcement)) return Ok(held)
            held?.close()
            val link =
                connect(HostPort(announcement.agentHost, announcement.agentPort)).getOrElse { failure ->
                    return Err(ErrorKind.NoHealthyUpstream.notRun(failure.detail))
                }
            val opened = AgentLink(link, announcement, memory)
            scope.launch { opened.receiveAll() }
            current = opened
            return Ok(opened)
        }
    }
}

private class AgentLink(
    private val link: Link,
    private val opened: Announcement,
    private val memory: AnswerMemory,
) {
    private val attempts = ConcurrentHashMap<Long, OpenedAttempt>()
    private val numbers = AtomicLong()

    @Volatile
    private var closed = false

    fun usableFor(announcement: Announcement): Boolean = !closed &&
        announcement.incarnation == opened.incarnation &&
        announcement.agentPort == opened.agentPort

    fun close(): Unit = link.close()

    suspend fun open(
        announcement: Announcement,
        build: BuildAttempt,
    ): Result<Attempt, Failure> {
        val number = numbers.incrementAndGet()
        val attempt = OpenedAttempt(number, announcement, link, memory)
        attempts[number] = attempt
        val sent = link.send(build(number))
        if (sent && !closed) return Ok(attempt)
        attempts.remove(number)
        attempt.close()
        // The order was queued if it was accepted at all, so a link that closes now may have carried it.
        if (sent) return Err(lost())
        return Err(ErrorKind.NoHealthyUpstream.notRun("the link to ${opened.upstream} closed"))
    }

    suspend fun receiveAll() {
        while (true) {
            val message = link.receive() ?: break
            dispatch(message)
        }
        closed = true
        link.close()
        attempts.values.forEach { it.deliver(AnswerEvent.Failed(lost())) }
        attempts.clear()
    }

    private fun dispatch(message: Message) {
        when (message) {
            is AnswerHead -> attempts[message.attempt]?.deliver(AnswerEvent.Head(message.status, message.headers))
            is AnswerChunk -> attempts[message.attempt]?.chunk(message)
            is AnswerEnd -> attempts.remove(message.attempt)?.end(message)
            is AnswerFailed -> fail(message.attempt, message.failure, message.load)
            is AttemptRefused -> fail(message.attempt, message.failure, message.load)
            else -> return
        }
    }

    private fun fail(
        attempt: Long,
        failure: Failure,
        load: UpstreamLoad,
    ) {
        attempts.remove(attempt)?.deliver(AnswerEvent.Failed(failure, load))
    }

    private fun lost() =
        Failure(ErrorKind.IncompleteAnswer, Execution.MayHaveRun, "the link to ${opened.upstream} broke")
}

private class OpenedAttempt(
    private val number: Long,
    override val announcement: Announcement,
    private val link: Link,
    private val memory: AnswerMemory,
) : Attempt {
    @Volatile
    private var overrun: () -> Unit = {}
    private val stream = memory.open { overrun() }

    // Bounded by the credit that has been given, which is counted in bytes.
    private val events = Channel<AnswerEvent>(Channel.UNLIMITED)
    private var expectedSequence = 0L

    fun deliver(event: AnswerEvent) {
        events.trySend(event)
    }

    /** Takes in a chunk; one that was seen before is dropped, and a gap ends the attempt. */
    fun chunk(message: AnswerChunk) {
        if (message.sequence < expectedSequence) return
        if (message.sequence > expectedSequence) return deliver(gap(message.sequence))
        expectedSequence++
        deliver(AnswerEvent.Chunk(message.bytes, memory.hold(stream, message.bytes.size)))
    }

    fun end(message: AnswerEnd) {
        if (message.chunks != expectedSequence) return deliver(gap(message.chunks))
        deliver(AnswerEvent.End(message.usage, message.load))
    }

    private fun gap(sequence: Long): AnswerEvent {
        val detail = "expected part $expectedSequence of the answer, got part $sequence"
        return AnswerEvent.Failed(Failure(ErrorKind.IncompleteAnswer, Execution.MayHaveRun, detail))
    }

    override suspend fun next(): AnswerEvent {
        val event = events.receive()
        if (event is AnswerEvent.End || event is AnswerEvent.Failed) close()
        return event
    }

    override suspend fun consumed(chunk: AnswerEvent.Chunk) {
        val bytes = chunk.bytes.size
        if (chunk.held) memory.release(stream, bytes) else memory.awaitRoom(stream, bytes)
        link.send(Credit(number, bytes.toLong()))
    }

    override fun onOverrun(end: () -> Unit) {
        overrun = end
    }

    override suspend fun cancel() {
        close()
        link.send(CancelAttempt(number))
    }

    fun close(): Unit = memory.close(stream)

    override suspend fun settled() {
        link.send(AttemptSettled(number))
    }
}
