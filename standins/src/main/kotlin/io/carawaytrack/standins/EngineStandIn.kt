/*
 * A stand-in for a model engine: its HTTP face over what `Engine` decides. It speaks the published form of chat
 * completions and the orders, reports and faults that tests and the demo need.
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

/** Header that identifies a request; counters and resumption go by it. */
public const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** Header with the token offset, counted from 0, from which a held answer is resumed. */
public const val RESUME_FROM_HEADER: String = "X-Resume-From"

/** Header with the priority, `interactive` or `batch`, of a request that has to wait. */
public const val PRIORITY_HEADER: String = "X-Priority"

/** Header of an answer that names the `model@version` that ran. */
public const val MODEL_VERSION_HEADER: String = "X-Model-Version"

/** Runs in the process of its creator; closing it cuts every connection. */
public interface EngineStandIn : AutoCloseable {
    /** Port on 127.0.0.1. */
    public val port: Int

    /** Counts of what has run. */
    public val counters: CounterReport

    /** Current load, without lag. */
    public val load: LoadReport

    /** What the engine serves and which orders brought it there. */
    public val state: EngineState

    /** Replaces the faults. */
    public fun replaceFaults(faults: EngineFaults)
}

/** Starts an engine stand-in; [onCrash] is called in place of closing it when a request crashes it. */
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
        post("/v1/chat/completions") { call.chat() }
        get("/v1/models") { call.respondJson(modelList()) }
        get("/health") { call.health() }
        get("/load") { call.respondJson(engine.loadReport()) }
        get("/events") { call.respondJsonLines(engine.cache.eventsAfter(call.after())) }
        get("/counters") { call.respondJson(counters) }
        get("/orders") { call.respondJson(state) }
        post("/orders") { call.order() }
        post("/cancel") { call.cancel() }
        get("/faults") { call.respondJson(engine.faults.value) }
        post("/faults") { call.faults() }
    }

    private fun RoutingCall.after(): Long = request.queryParameters["after"]?.toLongOrNull() ?: 0

    private fun modelList(): ModelList {
        val ids = state.versions.flatMap { listOf(it.model, it.toString()) }.distinct()
        return ModelList(kind = "list", data = ids.map { ModelEntry(it, kind = "model", ownedBy = "stand-in") })
    }

    private suspend fun RoutingCall.health() {
        val isDown = engine.isDown
        val health =
            Health(
                status = if (isDown) "down" else "ok",
                bootId = engine.cold.bootId,
                cold = engine.cold.isCold,
                versions = state.versions.map { it.toString() },
            )
        respondJson(health, if (isDown) HttpStatusCode.ServiceUnavailable else HttpStatusCode.OK)
    }

    private suspend fun RoutingCall.order() {
        receiveJson<EngineOrder>().mapBoth(
            success = { order ->
                val fault = engine.orders.validationError(order)
                if (fault != null) return respondJson(ErrorReply(fault), HttpStatusCode.BadRequest)
                val reply = engine.order(order)
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

    private suspend fun RoutingCall.chat() {
        val body = receiveText()
        val crashText = engine.faults.value.crashText
        if (crashText != null && crashText in body) crash()
        decodeJson<ChatRequest>(body).mapBoth(
            success = { answer(it) },
            failure = { respondError(HttpStatusCode.BadRequest, "invalid_request", it) },
        )
    }

    /** Ends the process, or this instance where no other way was given; never returns. */
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
            success = { work(it, chat) },
            failure = { respondRefusal(it) },
        )
    }

    private fun RoutingCall.priority(): Priority =
        Priority.entries.firstOrNull { it.name.equals(request.headers[PRIORITY_HEADER], ignoreCase = true) }
            ?: Priority.Interactive

    private suspend fun RoutingCall.work(
        work: EngineWork,
        chat: ChatRequest,
    ): Unit = coroutineScope {
        val tokens = Channel<String>(OUTPUT_BUFFER_TOKENS)
        val outcome = async { engine.run(work, tokens::send).also { tokens.close() } }
        response.header(REQUEST_ID_HEADER, work.requestId)
        response.header(MODEL_VERSION_HEADER, work.answer.version.toString())
        val first = tokens.receiveCatching().getOrNull()
        if (first == null) {
            respondStopped(outcome.await())
        } else if (chat.stream) {
            stream(work, first, tokens, outcome, chat.wantsUsageChunk)
        } else {
            whole(work, first, tokens, outcome)
        }
    }

    private suspend fun RoutingCall.whole(
        work: EngineWork,
        first: String,
        tokens: Channel<String>,
        outcome: Deferred<StopReason>,
    ) {
        val text = first + tokens.toList().joinToString(separator = "")
        val reason = outcome.await()
        if (reason != StopReason.Completed) return respondStopped(reason)
        val completion =
            ChatCompletion(
                id = work.requestId,
                kind = "chat.completion",
                created = CREATED_EPOCH_SECONDS,
                model = work.answer.version.toString(),
                choices = listOf(CompletionChoice(0, AnswerMessage("assistant", text), work.finishReason())),
                usage = work.usage(),
            )
        respondText(chatJson.encodeToString(completion), ContentType.Application.Json)
    }

    private suspend fun RoutingCall.stream(
        work: EngineWork,
        first: String,
        tokens: Channel<String>,
        outcome: Deferred<StopReason>,
        wantsUsageChunk: Boolean,
    ): Unit = respondBytesWriter(ContentType.Text.EventStream) {
        event(work.chunk(Delta(role = "assistant", content = "")))
        event(work.chunk(Delta(content = first)))
        for (token in tokens) event(work.chunk(Delta(content = token)))
        val reason = outcome.await()
        if (reason != StopReason.Completed) abortConnection()
        val usage = work.usage()
        event(work.chunk(Delta(), work.finishReason(), usage.takeUnless { wantsUsageChunk }))
        if (wantsUsageChunk) event(work.chunk(delta = null, usage = usage))
        writeStringUtf8("data: [DONE]\n\n")
        flush()
    }

    private suspend fun ByteWriteChannel.event(chunk: ChatChunk) {
        writeStringUtf8("data: ${chatJson.encodeToString(chunk)}\n\n")
        flush()
    }

    private fun EngineWork.chunk(
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

    private fun EngineWork.finishReason(): String = if (answer.isShortened) "length" else "stop"

    private fun EngineWork.usage(): TokenUsage {
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
