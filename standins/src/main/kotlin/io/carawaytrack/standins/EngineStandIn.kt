/*
 * A stand-in for an inference engine: the HTTP server in front of `Engine`. It implements the public chat completions
 * API and the orders, reports and faults that tests and the demo need.
 */
package io.carawaytrack.standins

import com.github.michaelbull.result.mapBoth
import io.carawaytrack.model.Priority
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.toList
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import java.util.UUID
import kotlin.concurrent.thread

/** Header with the request id, by which executions are counted and answers are resumed. */
public const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** Header with the token offset, counted from 0, from which a retained answer is resumed. */
public const val RESUME_FROM_HEADER: String = "X-Resume-From"

/** Header with the priority, `interactive` or `batch`, of a request in the wait queue. */
public const val PRIORITY_HEADER: String = "X-Priority"

/** Header of an answer with the `model@version` that generated it. */
public const val MODEL_VERSION_HEADER: String = "X-Model-Version"

/** A stand-in that runs in the process of its creator; closing it closes every connection. */
public interface EngineStandIn : AutoCloseable {
    /** Port on 127.0.0.1. */
    public val port: Int

    /** Counters of the requests that were executed. */
    public val counters: CounterReport

    /** Current load, without lag. */
    public val load: LoadReport

    /** Models that the engine serves and the orders that it has applied. */
    public val state: EngineState

    public fun replaceFaults(faults: EngineFaults)
}

/** Starts an engine stand-in; if a request crashes it, [onCrash] is called instead of closing it. */
public fun EngineStandIn(
    settings: EngineSettings = EngineSettings(),
    timing: Timing = Timing(),
    onCrash: (() -> Unit)? = null,
): EngineStandIn = HttpEngineStandIn(Engine(settings, timing), onCrash)

@Serializable
internal data class Health(
    val status: String,
    val bootId: Long,
    val cold: Boolean,
    val versions: List<String>,
)

@Serializable
internal data class CancelRequest(
    val requestId: String,
)

@Serializable
internal data class CancelReply(
    val cancelled: Boolean,
)

private class HttpEngineStandIn(
    private val engine: Engine,
    private val onCrash: (() -> Unit)?,
) : EngineStandIn {
    private val server = LoopbackServer(engine.settings.port) { routes() }

    override val port: Int get() = server.port
    override val counters: CounterReport get() = engine.counters.report()
    override val load: LoadReport get() = engine.currentLoad()
    override val state: EngineState get() = engine.orders.state

    override fun replaceFaults(faults: EngineFaults): Unit = engine.replaceFaults(faults)

    override fun close(): Unit = server.close()

    private fun Routing.routes() {
        post("/v1/chat/completions") { call.chatCompletion() }
        get("/v1/models") { call.respondJson(modelList()) }
        get("/health") { call.health() }
        get("/load") { call.respondJson(engine.loadReport()) }
        get("/events") { call.respondJsonLines(engine.cache.eventsAfter(call.afterSequence())) }
        get("/counters") { call.respondJson(counters) }
        get("/orders") { call.respondJson(state) }
        post("/orders") { call.order() }
        post("/cancel") { call.cancel() }
        get("/faults") { call.respondJson(engine.faults.value) }
        post("/faults") { call.faults() }
    }

    private fun RoutingCall.afterSequence(): Long = request.queryParameters["after"]?.toLongOrNull() ?: 0

    private fun modelList(): ModelList {
        val ids = state.versions.flatMap { listOf(it.model, it.toString()) }.distinct()
        return ModelList(kind = "list", data = ids.map { ModelEntry(it, kind = "model", ownedBy = "stand-in") })
    }

    private suspend fun RoutingCall.health() {
        val isDown = engine.isDown
        val health =
            Health(
                status = if (isDown) "down" else "ok",
                bootId = engine.coldStart.bootId,
                cold = engine.coldStart.isCold,
                versions = state.versions.map { it.toString() },
            )
        respondJson(health, if (isDown) HttpStatusCode.ServiceUnavailable else HttpStatusCode.OK)
    }

    private suspend fun RoutingCall.order() {
        receiveJson<EngineOrder>().mapBoth(
            success = { order ->
                val error = engine.orders.validationError(order)
                if (error != null) return respondJson(ErrorReply(error), HttpStatusCode.BadRequest)
                val reply = engine.apply(order)
                respondJson(reply, if (reply.applied) HttpStatusCode.OK else HttpStatusCode.Conflict)
            },
            failure = { respondJson(ErrorReply(it), HttpStatusCode.BadRequest) },
        )
    }

    private suspend fun RoutingCall.cancel() {
        receiveJson<CancelRequest>().mapBoth(
            success = { respondJson(CancelReply(engine.cancel(it.requestId))) },
            failure = { respondJson(ErrorReply(it), HttpStatusCode.BadRequest) },
        )
    }

    private suspend fun RoutingCall.faults() {
        receiveJson<EngineFaults>().mapBoth(
            success = {
                engine.replaceFaults(it)
                respondJson(engine.faults.value)
            },
            failure = { respondJson(ErrorReply(it), HttpStatusCode.BadRequest) },
        )
    }

    private suspend fun RoutingCall.chatCompletion() {
        val body = receiveText()
        val crashText = engine.faults.value.crashText
        if (crashText != null && crashText in body) crash()
        decodeJson<ChatRequest>(body).mapBoth(
            success = { answer(it) },
            failure = { respondError(HttpStatusCode.BadRequest, "invalid_request", it) },
        )
    }

    /** Calls [onCrash], or closes this instance if there is none; never returns. */
    private suspend fun crash(): Nothing {
        thread(isDaemon = true, name = "stand-in-crash") { onCrash?.invoke() ?: close() }
        awaitCancellation()
    }

    private suspend fun RoutingCall.answer(chat: ChatRequest) {
        val requestId = request.headers[REQUEST_ID_HEADER] ?: UUID.randomUUID().toString()
        val priority = priority()
        val resumeFrom = request.headers[RESUME_FROM_HEADER]?.toIntOrNull()
        val admitted =
            if (resumeFrom == null) {
                engine.admit(requestId, chat, priority)
            } else {
                engine.resume(requestId, resumeFrom, priority)
            }
        admitted.mapBoth(
            success = { respondTo(it, chat) },
            failure = { respondRefusal(it) },
        )
    }

    private fun RoutingCall.priority(): Priority =
        Priority.entries.firstOrNull { it.name.equals(request.headers[PRIORITY_HEADER], ignoreCase = true) }
            ?: Priority.Interactive

    private suspend fun RoutingCall.respondTo(
        engineRequest: EngineRequest,
        chat: ChatRequest,
    ): Unit = coroutineScope {
        val tokens = Channel<String>(OUTPUT_BUFFER_TOKENS)
        val outcome = async { engine.run(engineRequest, tokens::send).also { tokens.close() } }
        response.header(REQUEST_ID_HEADER, engineRequest.requestId)
        response.header(MODEL_VERSION_HEADER, engineRequest.answer.version.toString())
        val first = tokens.receiveCatching().getOrNull()
        if (first == null) {
            respondStopped(outcome.await())
        } else if (chat.stream) {
            respondStream(engineRequest, first, tokens, outcome, chat.wantsUsageChunk)
        } else {
            respondComplete(engineRequest, first, tokens, outcome)
        }
    }

    private suspend fun RoutingCall.respondComplete(
        engineRequest: EngineRequest,
        first: String,
        tokens: Channel<String>,
        outcome: Deferred<StopReason>,
    ) {
        val text = first + tokens.toList().joinToString(separator = "")
        val reason = outcome.await()
        if (reason != StopReason.Completed) return respondStopped(reason)
        val completion =
            ChatCompletion(
                id = engineRequest.requestId,
                kind = "chat.completion",
                created = CREATED_EPOCH_SECONDS,
                model = engineRequest.answer.version.toString(),
                choices = listOf(CompletionChoice(0, AnswerMessage("assistant", text), engineRequest.finishReason())),
                usage = engineRequest.usage(),
            )
        respondText(chatJson.encodeToString(completion), ContentType.Application.Json)
    }

    private suspend fun RoutingCall.respondStream(
        engineRequest: EngineRequest,
        first: String,
        tokens: Channel<String>,
        outcome: Deferred<StopReason>,
        wantsUsageChunk: Boolean,
    ): Unit = respondBytesWriter(ContentType.Text.EventStream) {
        writeEvent(engineRequest.chunk(Delta(role = "assistant", content = "")))
        writeEvent(engineRequest.chunk(Delta(content = first)))
        for (token in tokens) writeEvent(engineRequest.chunk(Delta(content = token)))
        val reason = outcome.await()
        if (reason != StopReason.Completed) abortConnection()
        val usage = engineRequest.usage()
        writeEvent(engineRequest.chunk(Delta(), engineRequest.finishReason(), usage.takeUnless { wantsUsageChunk }))
        if (wantsUsageChunk) writeEvent(engineRequest.chunk(delta = null, usage = usage))
        writeStringUtf8("data: [DONE]\n\n")
        flush()
    }

    private suspend fun ByteWriteChannel.writeEvent(chunk: ChatChunk) {
        writeStringUtf8("data: ${chatJson.encodeToString(chunk)}\n\n")
        flush()
    }

    private fun EngineRequest.chunk(
        delta: Delta?,
        finishReason: String? = null,
        usage: TokenUsage? = null,
    ) = ChatChunk(
        id = requestId,
        kind = "chat.completion.chunk",
        created = CREATED_EPOCH_SECONDS,
        model = answer.version.toString(),
        choices = listOfNotNull(delta?.let { ChunkChoice(0, it, finishReason) }),
        usage = usage,
    )

    private fun EngineRequest.finishReason(): String = if (answer.isTruncated) "length" else "stop"

    private fun EngineRequest.usage(): TokenUsage {
        val answerTokens = answer.tokens.size.toLong()
        val promptTokens = answer.promptTokens
        return TokenUsage(promptTokens, answerTokens, promptTokens + answerTokens, PromptDetails(answer.cachedTokens))
    }

    private suspend fun RoutingCall.respondStopped(reason: StopReason) {
        when (reason) {
            StopReason.Cancelled -> respondError(CLIENT_CLOSED_REQUEST, "cancelled", "the request was cancelled")
            StopReason.Crashed -> respondRefusal(EngineRefusal.Overloaded)
            StopReason.Completed, StopReason.Broken -> abortConnection()
        }
    }

    private suspend fun RoutingCall.respondRefusal(refusal: EngineRefusal) {
        if (refusal.status == HttpStatusCode.ServiceUnavailable.value) response.header("Retry-After", "1")
        respondError(HttpStatusCode.fromValue(refusal.status), refusal.code, refusal.message)
    }

    private suspend fun RoutingCall.respondError(
        status: HttpStatusCode,
        code: String,
        message: String,
    ) {
        val type =
            if (status.value <
                HttpStatusCode.InternalServerError.value
            ) {
                "invalid_request_error"
            } else {
                "server_error"
            }
        val error = ChatError(ChatErrorBody(message, type, code))
        respondText(chatJson.encodeToString(error), ContentType.Application.Json, status)
    }

    private companion object {
        const val OUTPUT_BUFFER_TOKENS = 16
        const val CREATED_EPOCH_SECONDS = 1_700_000_000L
        val CLIENT_CLOSED_REQUEST = HttpStatusCode(499, "Client Closed Request")
    }
}
