/*
 * One request from its arrival to the last byte of its answer. An exchange knows for each of its attempts whether the
 * upstream can have run it, and decides by that alone whether another one may follow and what its caller may be told.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.UpstreamId
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

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

internal class Exchange(
    val request: CallerRequest,
    val pool: CatalogPool?,
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

    /** Time for which it has waited for an upstream with room, over all attempts. */
    var waitedMillis = 0L
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
    private val relay = AnswerRelay(request, caller, host.vocabulary)
    private var attempt: Attempt? = null
    var sentAtMillis = 0L
        private set
    private var lastContentMillis = 0L
    private var response: HttpResponse? = null
    private var callerLeft = false
    private var mayHaveRun = false

    /** Whole events that the caller was sent. */
    val events: Int get() = relay.events

    /** Whether the present attempt has brought the head of an answer. */
    val answerBegun: Boolean get() = response != null

    /** Whether it is known that no upstream ran the request or ever will. */
    val hasNotRun: Boolean get() = !mayHaveRun

    private val execution get() = if (hasNotRun) Execution.NotRun else Execution.MayHaveRun

    init {
        caller.listenWith(this)
    }

    /** Sends the request to [upstream], as the attempt that the gateway decided on. */
    fun sendTo(
        upstream: UpstreamState,
        model: String?,
    ) {
        val now = host.nowMillis()
        val leftMillis = request.endsAtMillis - now
        val sent = request.forUpstream(upstream.upstream, host.vocabulary, leftMillis, model, relay.lastEventId)
        val next = Attempt(sent, host.vocabulary.attemptId, this)
        phase = ExchangePhase.Sent
        target = upstream
        attempt = next
        response = null
        sentAtMillis = now
        waitedMillis += now - waitingSinceMillis
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
            phase == ExchangePhase.Sent && isStalled(now) -> leaveSilentUpstream()
        }
    }

    private fun timeOut() {
        host.left(this)
        release(cancel = true)
        val kind = if (hasNotRun) ErrorKind.PoolExhausted else ErrorKind.UpstreamTimeout
        fail(Failure(kind, execution, "no answer within ${request.endsAtMillis - request.arrivedAtMillis} ms"))
    }

    private fun isStalled(now: Long): Boolean {
        val upstream = target ?: return false
        if (!route.retryable || !relay.canGoOn) return false
        val quietMillis = now - maxOf(lastContentMillis, sentAtMillis)
        return when {
            !route.streaming -> quietMillis > route.latencyTargetMillis * REPEAT_AFTER_TARGETS && tries == 1
            upstream.gone -> quietMillis > STALLED_STREAM_MILLIS
            upstream.isSuspect ->
                quietMillis > minOf(STALLED_STREAM_MILLIS, (route.latencyTargetMillis * FIRST_EVENT_PART).toLong())
            else -> quietMillis > maxOf(DEAD_STREAM_MILLIS, route.latencyTargetMillis)
        }
    }

    private fun leaveSilentUpstream() {
        val left = target ?: return
        if (!mayGoOn()) return
        host.noted(this, "upstream_silent", mapOf("owedMillis" to left.owedMillis))
        left.failed()
        host.left(this)
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
        if (!response.isSuccess()) return
        val confidence = headers[host.vocabulary.confidence]?.toIntOrNull()
        host.answeredBy(this, confidence)
        if (relay.isStream(response) && !relay.begun) host.largerModel(this, confidence)?.let(::ask)
    }

    /** Drops the answer that has begun, of which the caller has received nothing, for one by a larger model. */
    private fun ask(larger: Int) {
        release(cancel = true)
        modelIndex = larger
        waitForUpstream()
    }

    override fun content(bytes: ByteBuf) {
        val head = response
        lastContentMillis = host.nowMillis()
        target?.answered()
        if (head == null || phase != ExchangePhase.Sent) {
            bytes.release()
        } else if (!relay.take(head, bytes)) {
            failed(AttemptEnd.Broken)
        }
    }

    override fun flush() = relay.flush()

    override fun complete() {
        val head = response ?: return failed(AttemptEnd.Broken)
        val refusal = head.refusal(host.vocabulary)
        when {
            refusal != null -> refusedByUpstream(head, refusal)
            !relay.isWhole(head) -> failed(AttemptEnd.Broken)
            head.isFailure() && !relay.begun && mayGoOn() -> failedByUpstream(head)
            else -> finish(head)
        }
    }

    private fun finish(head: HttpResponse) {
        observe(good = !head.isFailure())
        mayHaveRun = true
        letGo()
        end(head.status().code(), failure = null)
        if (callerLeft) relay.forgetUnsent() else relay.finish(head)
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
            refusal == UpstreamRefusal.Rejected && tries >= MOST_REJECTIONS ->
                fail(Failure(ErrorKind.NoHealthyUpstream, execution, "upstreams reject the request"))
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
            neverSent || mayGoOn() -> waitForUpstream()
            else -> fail(Failure(ErrorKind.UpstreamFailed, execution, "the upstream broke off: $end"))
        }
    }

    private fun observe(good: Boolean) {
        val upstream = target ?: return
        if (good) upstream.succeeded() else upstream.failed()
        host.observed(this, upstream.upstream, good, host.nowMillis() - sentAtMillis)
    }

    /** Lets go of the attempt and of what it brought that the caller has not; [ran] tells whether it may have run. */
    private fun release(
        cancel: Boolean,
        ran: Boolean = true,
    ) {
        if (attempt != null && ran) mayHaveRun = true
        if (cancel) attempt?.cancel()
        letGo()
        relay.forgetUnsent()
    }

    private fun letGo() {
        if (attempt != null) target?.ended()
        attempt = null
        target = null
    }

    /** Returns whether the request may be sent to another upstream although one may have run it. */
    private fun mayGoOn(): Boolean {
        val inTime = request.endsAtMillis - host.nowMillis() >= LEAST_LEFT_MILLIS
        val allowed = route.retryable && relay.canGoOn && runs < route.maxAttempts
        return allowed && inTime && !callerLeft && host.mayRepeat(this)
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
        end(answer.status, failure.kind)
        if (callerLeft) answer.content.release() else relay.end(answer)
    }

    override fun callerGone() {
        if (phase == ExchangePhase.Over) return
        callerLeft = true
        val letItRun = phase == ExchangePhase.Sent && !route.retryable && !route.streaming
        if (!letItRun) abandon()
    }

    private fun abandon() {
        host.left(this)
        release(cancel = true)
        end(ErrorKind.CallerGone.status, ErrorKind.CallerGone)
    }

    override fun callerWritable(writable: Boolean) {
        attempt?.pauseReading(!writable)
    }

    private fun end(
        status: Int,
        failure: ErrorKind?,
    ) {
        phase = ExchangePhase.Over
        request.body.release()
        host.ended(ExchangeEnd(this, status, failure))
    }

    private companion object {
        /** Refusals of a request by its form after which it isn't tried elsewhere. */
        const val MOST_REJECTIONS = 3

        /** Time for which an upstream that broke off may be a freshly started one, in milliseconds. */
        const val DOUBT_MILLIS = 1_500L
    }
}
