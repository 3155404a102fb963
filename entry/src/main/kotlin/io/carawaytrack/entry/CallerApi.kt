/*
 * HTTP server for callers: reads each call, passes the request to [RequestHandler] and writes the reply.
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
    private val admissionFailure: () -> Failure?,
) {
    private val openRequests = MutableStateFlow(0)

    fun start(
        address: HostPort,
        receiveTimeoutMillis: Long,
    ): EmbeddedServer<*, *> = embeddedServer(
        factory = CIO,
        configure = {
            connector {
                host = address.host
                port = address.port
            }
            // CIO applies the idle timeout to the reception of the headers as well.
            connectionIdleTimeoutSeconds = (receiveTimeoutMillis / MILLIS_PER_SECOND).toInt().coerceAtLeast(1)
        },
        module = { intercept(io.ktor.server.application.ApplicationCallPipeline.Call) { handle(call) } },
    ).start()

    /** Waits until no request is open. */
    suspend fun awaitIdle() {
        openRequests.first { it == 0 }
    }

    private suspend fun handle(call: ApplicationCall) {
        openRequests.update { it + 1 }
        val id = RequestId(UUID.randomUUID().toString())
        try {
            telemetry.span("entry", call.request.headers[TRACE_HEADER]).use { span -> process(call, id, span) }
        } catch (disconnected: IOException) {
            logger.info(id) { "the caller closed the connection: ${disconnected.message}" }
        } finally {
            openRequests.update { it - 1 }
        }
    }

    private suspend fun process(
        call: ApplicationCall,
        id: RequestId,
        span: HopSpan,
    ) {
        span.attribute("request", id.value)
        admissionFailure()?.let { return refuseUnread(call, id, it, span) }
        val request = reader.read(call, id, span.traceparent).getOrElse { return refuseUnread(call, id, it, span) }
        // Handling continues after the caller disconnects, so that the outcome of a request that must not run twice is
        // still recorded.
        val startedNanos = nanoTime()
        val pendingReply = scope.async { handler.handle(request) }
        val reply = pendingReply.await()
        metrics.firstByte(request.route.name, nanoTime() - startedNanos)
        val failure = writer.write(call, reply, span)
        metrics.requestEnded(requestEnd(request, reply, failure, nanoTime() - startedNanos))
    }

    private fun requestEnd(
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

    private suspend fun refuseUnread(
        call: ApplicationCall,
        id: RequestId,
        failure: Failure,
        span: HopSpan,
    ) {
        metrics.requestEnded(RequestEnd(null, null, null, failure.kind, failure.execution, 0))
        writer.refuse(call, id, failure, span)
    }
}

/** Returns a check that rejects new requests during shutdown and while this entry holds no lease. */
internal fun admissionCheck(
    leaseHeld: () -> Boolean,
    shuttingDown: () -> Boolean,
): () -> Failure? = {
    when {
        shuttingDown() -> ErrorKind.ShuttingDown.notRun(retryAfterMillis = 0)
        !leaseHeld() -> ErrorKind.ControlUnavailable.notRun(retryAfterMillis = MILLIS_PER_SECOND)
        else -> null
    }
}
