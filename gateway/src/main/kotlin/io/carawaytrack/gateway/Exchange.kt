/*
 * One request from its arrival to the last byte of its answer. An exchange knows for each of its attempts whether the
 * upstream can have run it, and decides by that alone whether another one may follow and what its caller may be told.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.UpstreamId
import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass

/** Largest plain answer that is held until it is whole, in bytes; a larger one is passed on as it comes. */
private const val HELD_ANSWER_BYTES = 64 * 1024

/** Longest pause of a stream that is laid to its upstream when other signs are against it too, in milliseconds. */
private const val STALLED_STREAM_MILLIS = 1_500L

/** Pause of a stream that is laid to its upstream without any other sign, in milliseconds. */
private const val DEAD_STREAM_MILLIS = 3_000L

/** Part of the time to the first event that an attempt may take before a suspected upstream is left. */
private const val FIRST_EVENT_PART = 0.45

/** Time left below which another attempt can't bring an answer any more, in milliseconds. */
private const val LEAST_LEFT_MILLIS = 20L

/** Time for which a call on a service may be unanswered before it is repeated elsewhere, in latency targets. */
private const val REPEAT_AFTER_TARGETS = 1.2

/** Part of the time to the first event, as a divisor, that a stream waits for an upstream with room. */
private const val STREAM_PATIENCE_DIVISOR = 3

/** Time that a call on a service waits for an upstream with room, in milliseconds: most of its callers' patience. */
private const val CALL_PATIENCE_MILLIS = 700L

/** Says what an exchange waits for. */
internal enum class ExchangePhase { Waiting, Sent, Relaying, Over }

/** Holds what is known of one exchange's end, for the log and the metrics. */
internal class ExchangeEnd(
    val exchange: Exchange,
    val status: Int,
    val complete: Boolean,
    val reason: String,
)

/** What an exchange asks of its gateway. */
internal interface ExchangeHost {
    val vocabulary: HeaderVocabulary

    fun nowMillis(): Long

    /** Queues the exchange until an upstream can take it. */
    fun enqueue(exchange: Exchange)

    /** Sends the exchange's next attempt. */
    fun send(
        exchange: Exchange,
        target: UpstreamState,
        attempt: Attempt,
    )

    /** Takes one repeat from the budget of the route's pool. */
    fun mayRepeat(exchange: Exchange): Boolean

    /** Counts what an attempt showed of its upstream's version. */
    fun observed(
        exchange: Exchange,
        upstream: FleetUpstream,
        good: Boolean,
        firstByteMillis: Long,
    )

    /** Takes in an answer's head, for the model that gave it. */
    fun answeredBy(
        exchange: Exchange,
        confidence: Int?,
    )

    /** Returns the position of the model whose answer is to replace one of this [confidence], or null. */
    fun largerModel(
        exchange: Exchange,
        confidence: Int?,
    ): Int?

    fun noted(
        exchange: Exchange,
        event: String,
        detail: Map<String, Any?>,
    )

    fun ended(end: ExchangeEnd)
}

internal class Exchange(
    val request: CallerRequest,
    private val caller: CallerConnection,
    private val host: ExchangeHost,
) : CallerListener,
    AttemptListener,
    Waiter {
    override val rank: Int get() = request.rank
    override val arrivedAtMillis: Long get() = waitingSinceMillis
    override val onTimeUntilMillis: Long get() = request.arrivedAtMillis + route.latencyTargetMillis
    override val patienceMillis: Long
        get() = if (route.streaming) route.latencyTargetMillis / STREAM_PATIENCE_DIVISOR else CALL_PATIENCE_MILLIS


    var phase = ExchangePhase.Waiting
        private set

    /** Upstreams to which the request was sent and that may have run it. */
    var runs = 0
        private set

    /** Attempts in all. */
    var tries = 0
        private set

    /** Upstreams that this request is not sent to again. */
    val avoided = HashSet<UpstreamId>()

    /** Position of the model to ask, on routes that leave the choice to the gateway. */
    var modelIndex = 0
    var target: UpstreamState? = null
        private set
    var waitingSinceMillis = request.arrivedAtMillis
        private set
    var firstByteMillis: Long? = null
        private set

    private val route get() = request.route
    private val scanner = if (route.streaming && route.resumable) EventScanner(request.lastEventId()) else null
    private var attempt: Attempt? = null
    private var sentAtMillis = 0L
    private var lastContentMillis = 0L
    private var response: HttpResponse? = null
    private var held: CompositeByteBuf? = null
    private var relaying = false
    private var callerLeft = false
    private var mayHaveRun = false

    /** Whole events that the caller was sent. */
    val events: Int get() = scanner?.events ?: 0

    /** Whether it is known that no upstream ran the request or ever will. */
    val hasNotRun: Boolean get() = !mayHaveRun

    init {
        caller.listenWith(this)
    }

    /** Sends the request to [upstream], as the attempt that the gateway decided on. */
    fun sendTo(
        upstream: UpstreamState,
        model: String?,
    ) {
        val now = host.nowMillis()
        val lastEventId = scanner?.lastId ?: request.lastEventId()
        val sent =
            request.forUpstream(upstream.upstream, host.vocabulary, request.endsAtMillis - now, model, lastEventId)
        val next = Attempt(sent, host.vocabulary.attemptId, this)
        phase = if (relaying) ExchangePhase.Relaying else ExchangePhase.Sent
        target = upstream
        attempt = next
        response = null
        sentAtMillis = now
        lastContentMillis = now
        tries++
        runs++
        upstream.started()
        host.send(this, upstream, next)
    }

    /** Takes the time: ends the exchange when its time is over, and leaves an upstream that has gone silent. */
    fun tick() {
        val now = host.nowMillis()
        when {
            phase == ExchangePhase.Over -> return
            now >= request.endsAtMillis -> timeOut()
            phase == ExchangePhase.Waiting -> return
            isStalled(now) -> leaveSilentUpstream()
        }
    }

    private fun timeOut() {
        release(cancel = true)
        val kind = if (hasNotRun) ErrorKind.PoolExhausted else ErrorKind.UpstreamTimeout
        fail(Failure(kind, execution(), "no answer within ${request.endsAtMillis - request.arrivedAtMillis} ms"))
    }

    private fun isStalled(now: Long): Boolean {
        if (!route.repeatable || scanner?.damaged == true) return false
        val upstream = target ?: return false
        val quietMillis = now - maxOf(lastContentMillis, sentAtMillis)
        return when {
            !route.streaming -> quietMillis > route.latencyTargetMillis * REPEAT_AFTER_TARGETS && tries == 1
            upstream.gone -> quietMillis > STALLED_STREAM_MILLIS
            upstream.isSuspect -> quietMillis > minOf(STALLED_STREAM_MILLIS, firstEventLimitMillis())
            else -> quietMillis > maxOf(DEAD_STREAM_MILLIS, route.latencyTargetMillis)
        }
    }

    private fun firstEventLimitMillis() = (route.latencyTargetMillis * FIRST_EVENT_PART).toLong()

    private fun leaveSilentUpstream() {
        val left = target ?: return
        if (!mayGoOn()) return
        host.noted(this, "upstream_silent", mapOf("owedMillis" to left.owedMillis))
        left.failed()
        avoided += left.upstream.id
        release(cancel = true)
        waitForUpstream()
    }

    override fun head(response: HttpResponse) {
        val upstream = target ?: return
        upstream.answered()
        val headers = response.headers()
        reportedLoad(headers[host.vocabulary.load])?.let(upstream::reported)
        this.response = response
        firstByteMillis = firstByteMillis ?: (host.nowMillis() - request.arrivedAtMillis)
        val confidence = headers[host.vocabulary.confidence]?.toIntOrNull()
        if (!isSuccess(response)) return
        host.answeredBy(this, confidence)
        if (isStream(response) && !relaying) host.largerModel(this, confidence)?.let(::ask)
    }

    override fun content(bytes: ByteBuf) {
        val head = response
        val now = host.nowMillis()
        target?.answered()
        lastContentMillis = now
        if (head == null || phase == ExchangePhase.Over) {
            bytes.release()
            return
        }
        when {
            isStream(head) -> relayEvents(head, bytes)
            relaying -> caller.write(bytes)
            else -> hold(head, bytes)
        }
    }

    private fun isStream(head: HttpResponse) = route.streaming && isSuccess(head)

    private fun hold(
        head: HttpResponse,
        bytes: ByteBuf,
    ) {
        val sum = held ?: Unpooled.compositeBuffer(MAX_PARTS).also { held = it }
        sum.addComponent(true, bytes)
        if (sum.readableBytes() <= HELD_ANSWER_BYTES || refusal(head) != null) return
        held = null
        beginRelay(head)
        caller.write(sum)
    }

    private fun relayEvents(
        head: HttpResponse,
        bytes: ByteBuf,
    ) {
        val events = scanner?.take(bytes, caller.channel.alloc()) ?: bytes
        if (scanner?.damaged == true) return failed(AttemptEnd.Broken)
        if (!events.isReadable) {
            events.release()
            return
        }
        if (!relaying) {
            if (!sealed(head)) {
                events.release()
                return failed(AttemptEnd.Broken)
            }
            beginRelay(head)
        }
        caller.write(events)
    }

    private fun beginRelay(head: HttpResponse) {
        relaying = true
        phase = ExchangePhase.Relaying
        caller.begin(head.status(), answerHeaders(head.headers()))
    }

    override fun flush() {
        if (relaying) caller.flush()
    }

    /** Drops the answer that has begun, of which the caller has received nothing, for one by a larger model. */
    private fun ask(larger: Int) {
        release(cancel = true)
        modelIndex = larger
        waitForUpstream()
    }

    override fun complete() {
        val head = response ?: return failed(AttemptEnd.Broken)
        val refusal = refusal(head)
        when {
            refusal != null -> refusedByUpstream(head, refusal)
            isStream(head) -> completeStream(head)
            relaying -> finishRelay(head)
            isSuccess(head) && !sealed(head) -> failed(AttemptEnd.Broken)
            isFailure(head) && mayTryElsewhere() -> failedByUpstream(head)
            else -> passOn(head)
        }
    }

    private fun completeStream(head: HttpResponse) {
        if (scanner?.isAtBoundary == false || !sealed(head)) return failed(AttemptEnd.Broken)
        if (!relaying) beginRelay(head)
        finishRelay(head)
    }

    private fun finishRelay(head: HttpResponse) {
        observe(good = !isFailure(head))
        release(cancel = false)
        end(head.status().code(), complete = true, reason = "complete")
        caller.finish()
    }

    private fun passOn(head: HttpResponse) {
        val content = held ?: Unpooled.EMPTY_BUFFER
        held = null
        observe(good = !isFailure(head))
        release(cancel = false)
        val headers = answerHeaders(head.headers())
        end(head.status().code(), complete = true, reason = "complete")
        if (callerLeft) content.release() else caller.answer(head.status(), headers, content)
    }

    /** Leaves an upstream that ran the request and failed it. */
    private fun failedByUpstream(head: HttpResponse) {
        observe(good = false)
        host.noted(this, "upstream_failed_request", mapOf("status" to head.status().code()))
        target?.let { avoided += it.upstream.id }
        release(cancel = false)
        waitForUpstream()
    }

    /** Leaves an upstream that says that it has not run the request and will not. */
    private fun refusedByUpstream(
        head: HttpResponse,
        refusal: UpstreamRefusal,
    ) {
        val upstream = target ?: return
        host.noted(this, "upstream_refused", mapOf("status" to head.status().code(), "refusal" to refusal.name))
        runs--
        when (refusal) {
            UpstreamRefusal.AnotherUpstream -> upstream.gone = true
            UpstreamRefusal.Full -> upstream.full()
            UpstreamRefusal.Rejected -> avoided += upstream.upstream.id
        }
        release(cancel = false, ran = false)
        when {
            callerLeft -> abandon()
            refusal == UpstreamRefusal.Rejected && tries >= MOST_REFUSALS ->
                fail(Failure(ErrorKind.NoHealthyUpstream, execution(), "upstreams reject the request"))
            else -> waitForUpstream()
        }
    }

    override fun failed(end: AttemptEnd) {
        val upstream = target
        if (phase == ExchangePhase.Over || upstream == null) return
        val neverSent = end == AttemptEnd.NotConnected
        host.noted(this, "attempt_failed", mapOf("end" to end.name, "answerBegun" to (response != null)))
        if (neverSent) {
            runs--
            upstream.pause()
        } else if (end == AttemptEnd.Broken) {
            observe(good = false)
        }
        upstream.doubtWarmth(DOUBT_MILLIS)
        avoided += upstream.upstream.id
        release(cancel = true, ran = !neverSent)
        when {
            callerLeft -> abandon()
            neverSent -> waitForUpstream()
            mayGoOn() -> waitForUpstream()
            else -> fail(Failure(ErrorKind.UpstreamFailed, execution(), "the upstream broke off: $end"))
        }
    }

    private fun observe(good: Boolean) {
        val upstream = target ?: return
        if (good) upstream.succeeded() else upstream.failed()
        host.observed(this, upstream.upstream, good, host.nowMillis() - sentAtMillis)
    }

    /** Lets go of the attempt; [ran] tells whether it may have run. */
    private fun release(
        cancel: Boolean,
        ran: Boolean = true,
    ) {
        if (attempt != null) {
            target?.ended()
            if (ran) mayHaveRun = true
        }
        if (cancel) attempt?.cancel()
        attempt = null
        target = null
        held?.release()
        held = null
        scanner?.dropPartial()
    }

    private fun mayTryElsewhere() = !relaying && mayGoOn()

    /** Returns whether the request may be sent to another upstream although one may have run it. */
    private fun mayGoOn(): Boolean {
        val leftMillis = request.endsAtMillis - host.nowMillis()
        if (!route.repeatable || callerLeft || leftMillis < LEAST_LEFT_MILLIS) return false
        if (relaying && scanner == null) return false
        return runs < route.maxAttempts && host.mayRepeat(this)
    }

    private fun waitForUpstream() {
        phase = ExchangePhase.Waiting
        waitingSinceMillis = host.nowMillis()
        host.enqueue(this)
    }

    /** Ends the exchange by [failure]; a promise that nothing ran is only made where it is known. */
    fun fail(failure: Failure) {
        if (phase == ExchangePhase.Over) return
        val answer = answerTo(failure)
        end(answer.status, complete = false, reason = failure.kind.name)
        when {
            callerLeft -> return
            relaying -> caller.abort()
            else -> caller.answer(HttpResponseStatus.valueOf(answer.status), answer.headers, answer.content)
        }
    }

    private fun execution() = if (hasNotRun) Execution.NotRun else Execution.MayHaveRun

    override fun callerGone() {
        if (phase == ExchangePhase.Over) return
        callerLeft = true
        val letItRun = phase == ExchangePhase.Sent && !route.repeatable && !route.streaming
        if (!letItRun) abandon()
    }

    private fun abandon() {
        release(cancel = true)
        end(CALLER_GONE_STATUS, complete = false, reason = ErrorKind.CallerGone.name)
    }

    override fun callerWritable(writable: Boolean) {
        attempt?.pauseReading(!writable)
    }

    private fun end(
        status: Int,
        complete: Boolean,
        reason: String,
    ) {
        phase = ExchangePhase.Over
        request.body.release()
        host.ended(ExchangeEnd(this, status, complete, reason))
    }

    private fun isSuccess(head: HttpResponse) = head.status().codeClass() == HttpStatusClass.SUCCESS

    private fun isFailure(head: HttpResponse) = head.status().codeClass() == HttpStatusClass.SERVER_ERROR

    private fun sealed(head: HttpResponse) = head.headers().contains(host.vocabulary.seal)

    private fun refusal(head: HttpResponse): UpstreamRefusal? {
        val status = head.status().code()
        val notExecuted = head.headers().contains(host.vocabulary.notExecuted)
        return when {
            status == HttpResponseStatus.MISDIRECTED_REQUEST.code() -> UpstreamRefusal.AnotherUpstream
            !notExecuted -> null
            status == HttpResponseStatus.SERVICE_UNAVAILABLE.code() -> UpstreamRefusal.Full
            status == HttpResponseStatus.TOO_MANY_REQUESTS.code() -> UpstreamRefusal.Full
            else -> UpstreamRefusal.Rejected
        }
    }

    private companion object {
        const val CALLER_GONE_STATUS = 499
        const val MAX_PARTS = 64

        /** Refusals of a request by its form after which it isn't tried elsewhere. */
        const val MOST_REFUSALS = 3

        /** Time for which an upstream that broke off may be a freshly started one, in milliseconds. */
        const val DOUBT_MILLIS = 1_500L
    }
}

/** Says why an upstream has not run a request. */
internal enum class UpstreamRefusal {
    /** Another upstream holds the address now. */
    AnotherUpstream,

    /** It has no room. */
    Full,

    /** It rejects this request. */
    Rejected,
}

/** Holds an answer of the gateway's own. */
internal class OwnAnswer(
    val status: Int,
    val headers: HttpHeaders,
    val content: ByteBuf,
)

private const val MILLIS_PER_SECOND = 1_000.0

/** Status codes that promise that the request has not run. */
private val promises = setOf(408, 421, 429, 503)

/** Returns the answer to a caller; one that promises that nothing ran becomes 502 where that isn't known. */
internal fun answerTo(failure: Failure): OwnAnswer {
    val stated = failure.kind.status
    val untrue = stated in promises && failure.execution != Execution.NotRun
    val status = if (untrue) ErrorKind.UpstreamFailed.status else stated
    val headers = unvalidatedHeaders()
    headers[HttpHeaderNames.CONTENT_TYPE] = "text/plain; charset=utf-8"
    failure.retryAfterMillis?.let { headers[HttpHeaderNames.RETRY_AFTER] = (it / MILLIS_PER_SECOND).toString() }
    return OwnAnswer(status, headers, Unpooled.copiedBuffer(failure.detail + "\n", Charsets.UTF_8))
}
