/*
 * Writes replies to callers over HTTP. Every reply carries the request id; a refusal also carries the error kind and
 * whether the request was executed.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.carawaytrack.ledger.MAX_STORED_ANSWER_BYTES
import io.carawaytrack.ledger.StoredAnswer
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.RequestId
import io.carawaytrack.telemetry.EntryMetrics
import io.carawaytrack.telemetry.HopSpan
import io.carawaytrack.telemetry.error
import io.carawaytrack.telemetry.info
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import java.io.ByteArrayOutputStream
import java.io.IOException

private val logger = KotlinLogging.logger {}

private const val MILLIS_PER_SECOND = 1_000L
private const val EVENT_STREAM = "text/event-stream"
internal const val VERSION_HEADER = "X-Caraway-Version"
internal const val UPSTREAM_HEADER = "X-Caraway-Upstream"
internal const val ERROR_KIND_HEADER = "X-Caraway-Error"
internal const val EXECUTION_HEADER = "X-Caraway-Execution"
internal const val REPEATED_HEADER = "X-Caraway-Repeated"

/** Headers of an upstream's answer that are not relayed: they apply to one connection, or the server sets them. */
private val excludedHeaders = setOf("content-type", "content-length", "connection", "date", "server", "x-request-id")

private val answerNotStored = Failure(ErrorKind.AnswerNotKept, Execution.Ran)

internal class ReplyWriter(
    private val scope: CoroutineScope,
    private val metrics: EntryMetrics,
    private val nanoTime: () -> Long,
) {
    /** Writes [reply]; returns the failure reported to the caller, or null for a complete answer. */
    suspend fun write(
        call: ApplicationCall,
        reply: Reply,
        span: HopSpan,
    ): Failure? = when (reply) {
        is Reply.Refused -> refuse(call, reply.request, reply.failure, span)
        is Reply.Replayed -> replay(call, reply, span)
        is Reply.Answered -> relay(call, reply, span)
    }

    suspend fun refuse(
        call: ApplicationCall,
        id: RequestId,
        failure: Failure,
        span: HopSpan,
    ): Failure {
        span.fail(failure.kind)
        logger.info(id) { "refused: ${failure.kind} ${failure.execution}: ${failure.detail}" }
        call.response.header(REQUEST_ID_HEADER, id.value)
        call.response.header(ERROR_KIND_HEADER, failure.kind.name)
        call.response.header(EXECUTION_HEADER, failure.execution.name)
        failure.retryAfterMillis?.let { call.response.header(HttpHeaders.RetryAfter, wholeSeconds(it)) }
        call.respondText(errorBody(id, failure), ContentType.Application.Json, failure.statusCode)
        return failure
    }

    private fun wholeSeconds(millis: Long): String = ((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).toString()

    private suspend fun replay(
        call: ApplicationCall,
        reply: Reply.Replayed,
        span: HopSpan,
    ): Failure? {
        val stored = reply.answer
        val body = stored.body ?: return refuse(call, reply.request, answerNotStored, span)
        call.response.header(REPEATED_HEADER, "true")
        call.addAnswerHeaders(reply.request, stored.version.toString())
        call.respondBytes(body, stored.parsedContentType(), HttpStatusCode.fromValue(stored.status))
        return null
    }

    private fun StoredAnswer.parsedContentType(): ContentType? = contentType?.let(ContentType::parse)

    private fun ApplicationCall.addAnswerHeaders(
        id: RequestId,
        version: String,
    ) {
        response.header(REQUEST_ID_HEADER, id.value)
        response.header(VERSION_HEADER, version)
    }

    private suspend fun relay(
        call: ApplicationCall,
        reply: Reply.Answered,
        span: HopSpan,
    ): Failure? {
        val answer = reply.answer
        span.attribute("version", answer.version.toString())
        span.attribute("upstream", answer.announcement.upstream.value)
        if (answer.head.contentType
                .orEmpty()
                .startsWith(EVENT_STREAM)
        ) {
            return stream(call, reply)
        }
        val result =
            scope
                .async { collect(answer).mapBoth({ completed(reply, it) }, { it }) }
                .await()
        if (result is Failure) return refuse(call, reply.request, result, span)
        respond(call, reply, result as CollectedAnswer)
        return null
    }

    private suspend fun completed(
        reply: Reply.Answered,
        answer: CollectedAnswer,
    ): CollectedAnswer {
        reply.completion.complete(answer, answer.body)
        return answer
    }

    private suspend fun respond(
        call: ApplicationCall,
        reply: Reply.Answered,
        answer: CollectedAnswer,
    ) {
        call.addUpstreamHeaders(reply)
        val type = answer.head.contentType?.let(ContentType::parse)
        call.respondBytes(answer.body, type, HttpStatusCode.fromValue(answer.head.status))
    }

    private fun ApplicationCall.addUpstreamHeaders(reply: Reply.Answered) {
        addAnswerHeaders(reply.request, reply.answer.version.toString())
        response.header(UPSTREAM_HEADER, reply.answer.announcement.upstream.value)
        reply.answer.head.headers
            .filterNot { it.name.lowercase() in excludedHeaders }
            .forEach { response.header(it.name, it.value) }
    }

    private suspend fun stream(
        call: ApplicationCall,
        reply: Reply.Answered,
    ): Failure? {
        call.addUpstreamHeaders(reply)
        val type =
            reply.answer.head.contentType
                ?.let(ContentType::parse)
        var failure: Failure? = null
        call.respondBytesWriter(type, HttpStatusCode.fromValue(reply.answer.head.status)) {
            failure = copy(reply, this)
        }
        return failure
    }

    private suspend fun copy(
        reply: Reply.Answered,
        out: ByteWriteChannel,
    ): Failure? {
        val storedBody = ByteArrayOutputStream()
        val gapTimer = ChunkGapTimer(reply.route)
        val copying = currentCoroutineContext().job
        reply.answer.onMemoryExceeded { copying.cancel(CancellationException("the caller reads too slowly")) }
        try {
            while (true) {
                val chunk = reply.answer.next().getOrElse { return endWithError(reply, it, out) } ?: break
                out.writeByteArray(chunk.bytes)
                out.flush()
                if (storedBody.size() <= MAX_STORED_ANSWER_BYTES) storedBody.write(chunk.bytes)
                reply.answer.release(chunk)
                gapTimer.onChunk()
            }
        } catch (disconnected: IOException) {
            reply.answer.cancel()
            throw disconnected
        } catch (cancelled: CancellationException) {
            withContext(NonCancellable) { reply.answer.cancel() }
            throw cancelled
        }
        withContext(NonCancellable) { reply.completion.complete(reply.answer, storedBody.toByteArray()) }
        return null
    }

    /** Ends an incomplete stream with an error event, and without the closing event of a complete one. */
    private suspend fun endWithError(
        reply: Reply.Answered,
        failure: Failure,
        out: ByteWriteChannel,
    ): Failure {
        logger.error(reply.request) { "answer stream ended before completion: ${failure.detail}" }
        out.writeByteArray("data: ${errorBody(reply.request, failure)}\n\n".encodeToByteArray())
        out.flush()
        return failure
    }

    /** Measures the time between the chunks of one stream. */
    private inner class ChunkGapTimer(
        private val route: String,
    ) {
        private var lastNanos = nanoTime()

        fun onChunk() {
            val nowNanos = nanoTime()
            metrics.chunkGap(route, nowNanos - lastNanos)
            lastNanos = nowNanos
        }
    }
}

private val Failure.statusCode: HttpStatusCode get() = HttpStatusCode.fromValue(kind.status)
