/*
 * The HTTP side towards callers: turns a call into a request and a reply into an answer. Every answer carries the
 * request id; a refusal carries the error kind and whether the request ran.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.carawaytrack.ledger.MAX_STORED_ANSWER_BYTES
import io.carawaytrack.ledger.StoredAnswer
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.HostPort
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.notRun
import io.carawaytrack.telemetry.EntryMetrics
import io.carawaytrack.telemetry.HopSpan
import io.carawaytrack.telemetry.RequestEnd
import io.carawaytrack.telemetry.Telemetry
import io.carawaytrack.telemetry.error
import io.carawaytrack.telemetry.info
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
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
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.job
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.UUID

private val logger = KotlinLogging.logger {}

private const val MILLIS_PER_SECOND = 1_000L
private const val EVENT_STREAM = "text/event-stream"
internal const val VERSION_HEADER = "X-Caraway-Version"
internal const val UPSTREAM_HEADER = "X-Caraway-Upstream"
internal const val ERROR_KIND_HEADER = "X-Caraway-Error"
internal const val EXECUTION_HEADER = "X-Caraway-Execution"
internal const val REPEATED_HEADER = "X-Caraway-Repeated"

/** Body of every refusal, in the shape that clients of chat completions know. */
@Serializable
internal data class ErrorBody(
    val error: ErrorDetail,
)

@Serializable
internal data class ErrorDetail(
    val message: String,
    val type: String,
    val code: ErrorKind,
    val execution: Execution,
    @SerialName("request_id") val requestId: String,
)

private val json = Json { encodeDefaults = true }

/** Headers of an upstream's answer that describe the connection or that the server sets itself. */
private val ownHeaders = setOf("content-type", "content-length", "connection", "date", "server", "x-request-id")

internal class CallerApi(
    private val scope: CoroutineScope,
    private val reader: RequestReader,
    private val handler: RequestHandler,
    private val telemetry: Telemetry,
    private val metrics: EntryMetrics,
    private val nanoTime: () -> Long,
    private val mayAccept: () -> Failure?,
) {
    private val open = MutableStateFlow(0)

    fun start(
        address: HostPort,
        receiveMillis: Long,
    ): EmbeddedServer<*, *> = embeddedServer(
        factory = CIO,
        configure = {
            connector {
                host = address.host
                port = address.port
            }
            // Also bounds the time that a caller may take for its headers.
            connectionIdleTimeoutSeconds = (receiveMillis / MILLIS_PER_SECOND).toInt().coerceAtLeast(1)
        },
        module = { intercept(io.ktor.server.application.ApplicationCallPipeline.Call) { serve(call) } },
    ).start()

    /** Waits until no request is open. */
    suspend fun awaitIdle() {
        open.first { it == 0 }
    }

    private suspend fun serve(call: ApplicationCall) {
        open.update { it + 1 }
        val id = RequestId(UUID.randomUUID().toString())
        try {
            telemetry.span("entry", call.request.headers[TRACE_HEADER]).use { span -> answer(call, id, span) }
        } catch (gone: IOException) {
            logger.info(id) { "the caller closed the connection: ${gone.message}" }
        } finally {
            open.update { it - 1 }
        }
    }

    private suspend fun answer(
        call: ApplicationCall,
        id: RequestId,
        span: HopSpan,
    ) {
        span.attribute("request", id.value)
        mayAccept()?.let { return refuseEarly(call, id, it, span) }
        val request = reader.read(call, id, span.traceparent).getOrElse { return refuseEarly(call, id, it, span) }
        // The work outlives a caller that goes away, so that a request which must not run twice is followed to its end.
        val startedNanos = nanoTime()
        val reply = scope.async { handler.handle(request) }
        val outcome = reply.await()
        metrics.firstByte(request.route.name, nanoTime() - startedNanos)
        val failure =
            when (outcome) {
                is Reply.Refused -> refuse(call, outcome.request, outcome.failure, span)
                is Reply.Repeated -> repeat(call, outcome, span)
                is Reply.Answered -> relay(call, outcome, span)
            }
        metrics.requestEnded(ended(request, outcome, failure, nanoTime() - startedNanos))
    }

    private fun ended(
        request: CallerRequest,
        reply: Reply,
        failure: Failure?,
        elapsedNanos: Long,
    ) = RequestEnd(
        organisation = request.organisation.name,
        route = request.route.name,
        version = (reply as? Reply.Answered)?.answer?.version,
        failure = failure?.kind,
        execution = failure?.execution ?: Execution.Ran,
        elapsedNanos = elapsedNanos,
    )

    /** Measures the time between the parts of one stream. */
    private inner class Pace(
        private val route: String,
    ) {
        private var lastNanos = nanoTime()

        fun chunk() {
            val nowNanos = nanoTime()
            metrics.chunkGap(route, nowNanos - lastNanos)
            lastNanos = nowNanos
        }
    }

    private suspend fun refuseEarly(
        call: ApplicationCall,
        id: RequestId,
        failure: Failure,
        span: HopSpan,
    ) {
        metrics.requestEnded(RequestEnd(null, null, null, failure.kind, failure.execution, 0))
        refuse(call, id, failure, span)
    }

    private suspend fun refuse(
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
        failure.retryAfterMillis?.let { call.response.header(HttpHeaders.RetryAfter, seconds(it)) }
        call.respondText(errorBody(id, failure), ContentType.Application.Json, failure.statusCode)
        return failure
    }

    private fun seconds(millis: Long): String = ((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).toString()

    private suspend fun repeat(
        call: ApplicationCall,
        reply: Reply.Repeated,
        span: HopSpan,
    ): Failure? {
        val stored = reply.answer
        val body = stored.body ?: return refuse(call, reply.request, unkept, span)
        call.response.header(REPEATED_HEADER, "true")
        call.describe(reply.request, stored.version.toString())
        call.respondBytes(body, stored.type(), HttpStatusCode.fromValue(stored.status))
        return null
    }

    private fun StoredAnswer.type(): ContentType? = contentType?.let(ContentType::parse)

    private fun ApplicationCall.describe(
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
        val whole =
            scope
                .async { collected(answer).mapBoth({ finished(reply, it) }, { it }) }
                .await()
        if (whole is Failure) return refuse(call, reply.request, whole, span)
        respond(call, reply, whole as CollectedAnswer)
        return null
    }

    private suspend fun finished(
        reply: Reply.Answered,
        whole: CollectedAnswer,
    ): CollectedAnswer {
        reply.finish.complete(whole, whole.body)
        return whole
    }

    private suspend fun respond(
        call: ApplicationCall,
        reply: Reply.Answered,
        whole: CollectedAnswer,
    ) {
        call.describeAnswer(reply)
        val type = whole.head.contentType?.let(ContentType::parse)
        call.respondBytes(whole.body, type, HttpStatusCode.fromValue(whole.head.status))
    }

    private fun ApplicationCall.describeAnswer(reply: Reply.Answered) {
        describe(reply.request, reply.answer.version.toString())
        response.header(UPSTREAM_HEADER, reply.answer.announcement.upstream.value)
        reply.answer.head.headers
            .filterNot { it.name.lowercase() in ownHeaders }
            .forEach { response.header(it.name, it.value) }
    }

    private suspend fun stream(
        call: ApplicationCall,
        reply: Reply.Answered,
    ): Failure? {
        call.describeAnswer(reply)
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
        val kept = ByteArrayOutputStream()
        val pace = Pace(reply.route)
        val copying = currentCoroutineContext().job
        reply.answer.onOverrun { copying.cancel(CancellationException("the caller read too slowly")) }
        try {
            while (true) {
                val part = reply.answer.next().getOrElse { return fail(reply, it, out) } ?: break
                out.writeByteArray(part.bytes)
                out.flush()
                if (kept.size() <= MAX_STORED_ANSWER_BYTES) kept.write(part.bytes)
                reply.answer.consumed(part)
                pace.chunk()
            }
        } catch (gone: IOException) {
            reply.answer.cancel()
            throw gone
        } catch (cancelled: CancellationException) {
            withContext(NonCancellable) { reply.answer.cancel() }
            throw cancelled
        }
        withContext(NonCancellable) { reply.finish.complete(reply.answer, kept.toByteArray()) }
        return null
    }

    /** Ends a stream that cannot be completed by an event that says so; the closing event is left out. */
    private suspend fun fail(
        reply: Reply.Answered,
        failure: Failure,
        out: ByteWriteChannel,
    ): Failure {
        logger.error(reply.request) { "stream ended early: ${failure.detail}" }
        out.writeByteArray("data: ${errorBody(reply.request, failure)}\n\n".encodeToByteArray())
        out.flush()
        return failure
    }

    private fun errorBody(
        id: RequestId,
        failure: Failure,
    ): String {
        val detail = ErrorDetail(failure.detail, "carawaytrack_error", failure.kind, failure.execution, id.value)
        return json.encodeToString(ErrorBody(detail))
    }
}

private val unkept = Failure(ErrorKind.AnswerNotKept, Execution.Ran)

private val Failure.statusCode: HttpStatusCode get() = HttpStatusCode.fromValue(kind.status)

/** Refuses new requests while the process may not place work. */
internal fun acceptance(
    leaseHeld: () -> Boolean,
    stopping: () -> Boolean,
): () -> Failure? = {
    when {
        stopping() -> ErrorKind.ShuttingDown.notRun(retryAfterMillis = 0)
        !leaseHeld() -> ErrorKind.ControlUnavailable.notRun(retryAfterMillis = MILLIS_PER_SECOND)
        else -> null
    }
}
