/*
 * Links from this entry to the agents: one per agent, opened on first use and shared by many attempts. Each attempt has
 * its own flow-control credit, so that the entry never buffers more of an answer than the attempt's window.
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

/** Events of an attempt, in order: a head, chunks and an end. A failure may take the place of any of them. */
internal sealed interface AnswerEvent {
    data class Head(
        val status: Int,
        val headers: List<Header>,
    ) : AnswerEvent

    /** [reserved] is whether the bytes are reserved in the memory budget. */
    class Chunk(
        val bytes: ByteArray,
        val reserved: Boolean,
    ) : AnswerEvent

    /** [load] is the upstream's load as the agent reported it with the end. */
    data class End(
        val usage: Usage,
        val load: UpstreamLoad,
    ) : AnswerEvent

    /** [load] is null where this entry detected the failure itself. */
    data class Failed(
        val failure: Failure,
        val load: UpstreamLoad? = null,
    ) : AnswerEvent
}

/** An attempt as the entry sees it. */
internal interface Attempt {
    val announcement: Announcement

    suspend fun next(): AnswerEvent

    /** Releases the memory of [chunk] and grants the agent credit for the same number of bytes. */
    suspend fun release(chunk: AnswerEvent.Chunk)

    /** Registers [terminate], which is called when the memory budget requires this stream to end. */
    fun onMemoryExceeded(terminate: () -> Unit)

    suspend fun cancel()

    /** Notifies the agent that this entry is responsible for the outcome. */
    suspend fun notifySettled()
}

/** Builds the message that opens an attempt from the attempt's number on the link. */
internal typealias BuildAttempt = (attempt: Long) -> OpenAttempt

internal class AgentLinks(
    private val scope: CoroutineScope,
    private val connect: suspend (HostPort) -> Result<Link, Failure>,
    private val memory: AnswerMemoryLimiter,
) {
    private val agents = ConcurrentHashMap<UpstreamId, AgentConnection>()

    /** Sends an attempt to the agent of [announcement]; fails with `NotRun` when the agent is unreachable. */
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
            val existing = current
            if (existing != null && existing.usableFor(announcement)) return Ok(existing)
            existing?.close()
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
    private val initialAnnouncement: Announcement,
    private val memory: AnswerMemoryLimiter,
) {
    private val attempts = ConcurrentHashMap<Long, LinkAttempt>()
    private val attemptNumbers = AtomicLong()

    @Volatile
    private var closed = false

    fun usableFor(announcement: Announcement): Boolean = !closed &&
        announcement.incarnation == initialAnnouncement.incarnation &&
        announcement.agentPort == initialAnnouncement.agentPort

    fun close(): Unit = link.close()

    suspend fun open(
        announcement: Announcement,
        build: BuildAttempt,
    ): Result<Attempt, Failure> {
        val number = attemptNumbers.incrementAndGet()
        val attempt = LinkAttempt(number, announcement, link, memory)
        attempts[number] = attempt
        val sent = link.send(build(number))
        if (sent && !closed) return Ok(attempt)
        attempts.remove(number)
        attempt.close()
        // The message was already queued for sending, so it may have reached the agent before the link closed.
        if (sent) return Err(linkLost())
        return Err(ErrorKind.NoHealthyUpstream.notRun("the link to ${initialAnnouncement.upstream} is closed"))
    }

    suspend fun receiveAll() {
        while (true) {
            val message = link.receive() ?: break
            dispatch(message)
        }
        closed = true
        link.close()
        attempts.values.forEach { it.deliver(AnswerEvent.Failed(linkLost())) }
        attempts.clear()
    }

    private fun dispatch(message: Message) {
        when (message) {
            is AnswerHead -> attempts[message.attempt]?.deliver(AnswerEvent.Head(message.status, message.headers))
            is AnswerChunk -> attempts[message.attempt]?.onChunk(message)
            is AnswerEnd -> attempts.remove(message.attempt)?.onEnd(message)
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

    private fun linkLost() = Failure(
        ErrorKind.IncompleteAnswer,
        Execution.MayHaveRun,
        "the link to ${initialAnnouncement.upstream} closed before the answer was complete",
    )
}

private class LinkAttempt(
    private val number: Long,
    override val announcement: Announcement,
    private val link: Link,
    private val memory: AnswerMemoryLimiter,
) : Attempt {
    @Volatile
    private var terminate: () -> Unit = {}
    private val stream = memory.open { terminate() }

    // Unlimited in events, but bounded in bytes by the credit granted to the agent.
    private val events = Channel<AnswerEvent>(Channel.UNLIMITED)
    private var expectedSequence = 0L

    fun deliver(event: AnswerEvent) {
        events.trySend(event)
    }

    /** Handles a chunk: drops a duplicate; a gap in the sequence fails the attempt. */
    fun onChunk(message: AnswerChunk) {
        if (message.sequence < expectedSequence) return
        if (message.sequence > expectedSequence) return deliver(sequenceGap(message.sequence))
        expectedSequence++
        deliver(AnswerEvent.Chunk(message.bytes, memory.reserve(stream, message.bytes.size)))
    }

    fun onEnd(message: AnswerEnd) {
        if (message.chunks != expectedSequence) return deliver(sequenceGap(message.chunks))
        deliver(AnswerEvent.End(message.usage, message.load))
    }

    private fun sequenceGap(sequence: Long): AnswerEvent {
        val detail = "expected answer chunk $expectedSequence, got $sequence"
        return AnswerEvent.Failed(Failure(ErrorKind.IncompleteAnswer, Execution.MayHaveRun, detail))
    }

    override suspend fun next(): AnswerEvent {
        val event = events.receive()
        if (event is AnswerEvent.End || event is AnswerEvent.Failed) close()
        return event
    }

    override suspend fun release(chunk: AnswerEvent.Chunk) {
        val bytes = chunk.bytes.size
        if (chunk.reserved) memory.release(stream, bytes) else memory.awaitCapacity(stream, bytes)
        link.send(Credit(number, bytes.toLong()))
    }

    override fun onMemoryExceeded(terminate: () -> Unit) {
        this.terminate = terminate
    }

    override suspend fun cancel() {
        close()
        link.send(CancelAttempt(number))
    }

    fun close(): Unit = memory.close(stream)

    override suspend fun notifySettled() {
        link.send(AttemptSettled(number))
    }
}
