/*
 * The HTTP side towards callers: takes calls in, hands them to the decisions, and has the replies written.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.getOrElse
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
import io.carawaytrack.telemetry.info
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import java.io.IOException
import java.util.UUID

private val logger = KotlinLogging.logger {}

private const val MILLIS_PER_SECOND = 1_000L

internal class CallerApi(
    private val scope: CoroutineScope,
    private val reader: RequestReader,
    private val handler: RequestHandler,
    private val writer: ReplyWriter,
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
        val failure = writer.write(call, outcome, span)
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

    private suspend fun refuseEarly(
        call: ApplicationCall,
        id: RequestId,
        failure: Failure,
        span: HopSpan,
    ) {
        metrics.requestEnded(RequestEnd(null, null, null, failure.kind, failure.execution, 0))
        writer.refuse(call, id, failure, span)
    }
}

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
