/*
 * One request from its arrival to the last byte of its response: its attempts, and what its caller receives. Whether
 * there may be another attempt is decided in RequestArrivals.kt.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.routing.load.AbandonReason
import io.carawaytrack.routing.load.PlacedWork
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** Minimum time before the deadline for another attempt; with less, a response cannot arrive in time. */
private const val MIN_REMAINING_MILLIS = 20L

/** Number of attempts after which a request that an upstream rejects is not retried. */
private const val MAX_REJECTIONS = 3

internal class Exchange(
    val request: CallerRequest,
    val pool: CatalogPool?,
    private val caller: CallerConnection,
    private val context: ExchangeContext,
) : CallerListener,
    AttemptListener,
    QueuedRequest {
    override val rank: Int get() = request.rank
    override val queuedSinceMillis: Long get() = waitingSinceMillis
    override val onTimeUntilMillis: Long get() = request.arrivedAtMillis + route.latencyTargetMillis
    override val maxWaitMillis: Long get() = route.maxWaitMillis

    var phase = ExchangePhase.Waiting
        private set

    /** Arrivals of the request at upstreams. */
    val arrivals =
        RequestArrivals(request.route, { relay.canResume && watch.allowsRetry }) { context.tryRetry(this, it) }

    /** Total number of attempts. */
    var attempts = 0
        private set

    /** Total time spent waiting for an upstream with free capacity, over all attempts. */
    var waitedMillis = 0L
        private set

    /** Upstreams to which the request should not be sent again. */
    val excluded = HashSet<UpstreamId>()

    /** Index of the model to use, on routes that leave the choice to the gateway. */
    var modelIndex = 0
    var target: UpstreamState? = null
        private set
    var waitingSinceMillis = request.arrivedAtMillis
        private set
    var firstByteMillis: Long? = null
        private set

    /** Expected time from the current placement to its first event; null unless the pool is time-critical. */
    val expectedFirstEventMillis: Double? get() = watch.work?.expectedMillis

    private val route get() = request.route
    private val relay = ResponseRelay(request, caller, context.headerNames)
    private var attempt: Attempt? = null

    /** Progress of the current attempt. */
    val progress = AttemptProgress()
    val sentAtMillis: Long get() = progress.sentAtMillis
    private var response: HttpResponse? = null
    val watch = AnswerWatch(request, context.crashes) { context.meters.requestStarted(request.organisation?.name) }
    private var callerDisconnected = false

    /** Number of complete events sent to the caller. */
    val events: Int get() = relay.events

    /** Whether the current attempt has received the head of a response. */
    val hasResponseHead: Boolean get() = response != null

    /** Whether it is certain that no upstream has executed the request or will execute it. */
    val hasNotRun: Boolean get() = !arrivals.mayHaveRun

    private val execution get() = if (hasNotRun) Execution.NotRun else Execution.MayHaveRun

    init {
        caller.setListener(this)
    }

    /** Starts a new attempt of the request on [upstream]. */
    fun sendTo(
        upstream: UpstreamState,
        model: String?,
        work: PlacedWork?,
    ) {
        val now = context.nowMillis()
        val remainingMillis = request.deadlineAtMillis - now
        val sent =
            request.forUpstream(upstream.upstream, context.headerNames, remainingMillis, model, relay.lastEventId)
        val next = Attempt(sent, context.headerNames, this)
        phase = ExchangePhase.Sent
        target = upstream
        attempt = next
        response = null
        watch.attemptStarted(work)
        progress.sent(now, upstream.watch)
        waitedMillis += now - waitingSinceMillis
        attempts++
        arrivals.sent()
        upstream.requestStarted()
        context.send(this, upstream, next)
    }

    /** Ends the exchange at its deadline, and abandons an unresponsive upstream. */
    fun tick() {
        val now = context.nowMillis()
        when {
            phase == ExchangePhase.Ended -> return
            now >= request.deadlineAtMillis ->
                abandonWith { timedOut(execution, request.deadlineAtMillis - request.arrivedAtMillis) }
            phase == ExchangePhase.Sent && arrivals.mayRunAgain ->
                context.unresponsive.abandonReason(this)?.let(::abandonUpstream)
        }
    }

    /** Cancels the current attempt and ends the exchange with [failure], which is determined after that. */
    fun abandonWith(failure: (Exchange) -> Failure) {
        context.attemptAbandoned(this)
        releaseAttempt(cancel = true)
        fail(failure(this))
    }

    private fun abandonUpstream(reason: AbandonReason) {
        val abandoned = target ?: return
        if (!tryRetry(RetryReason.Stall)) return progress.retryDenied(context.nowMillis())
        context.upstreamAbandoned(this, abandoned, reason)
        excluded += abandoned.upstream.id
        releaseAttempt(cancel = true)
        waitForUpstream()
    }

    override fun onHead(response: HttpResponse) {
        val upstream = target ?: return
        upstream.bytesReceived()
        context.recordStatements(upstream, response)
        this.response = response
        firstByteMillis = firstByteMillis ?: (context.nowMillis() - request.arrivedAtMillis)
        watch.responseReceived { relay.showsStart(response) }
        if (!response.isSuccess()) return
        val confidence = response.headers()[context.headerNames.confidence]?.toIntOrNull()
        context.responseStarted(this, confidence)
        if (!route.answersReplaceable || relay.started || !arrivals.mayRunAgain) return
        context.replacementModel(this, confidence)?.let(::replaceAnswer)
    }

    /** Replaces a response of which the caller has received nothing by one of a larger model. */
    private fun replaceAnswer(replacement: ModelReplacement) {
        if (!tryRetry(RetryReason.Escalation)) return
        context.logExchange(this, "answer_dropped", replacement.fields)
        progress.replacedConfidence = replacement.replacedConfidence
        releaseAttempt(cancel = true)
        modelIndex = replacement.index
        waitForUpstream()
    }

    override fun onContent(bytes: ByteBuf) {
        val head = response
        target?.bytesReceived()
        if (head == null || phase != ExchangePhase.Sent) {
            bytes.release()
            return
        }
        val eventsBefore = events
        val valid = relay.receiveContent(head, bytes)
        watch.responseReceived { relay.showsStart(head) }
        // An upstream that is stalled may still send bytes now and then, but no complete events.
        if (!relay.isStream(head)) progress.received(context.nowMillis())
        if (events > eventsBefore) {
            progress.eventsReceived(context.nowMillis())
            watch.eventsReceived(events - eventsBefore, progress.lastProgressAtMillis)
        }
        if (valid) return
        // The body cannot belong to a valid response; a refusal counts regardless of its body.
        val refusal = head.refusal(context.headerNames) ?: return onFailed(AttemptEnd.Broken)
        attempt?.cancel()
        handleRefusal(head, refusal)
    }

    override fun onReadComplete() = relay.flush()

    override fun onComplete() {
        val head = response ?: return onFailed(AttemptEnd.Broken)
        val refusal = head.refusal(context.headerNames)
        when {
            refusal != null -> handleRefusal(head, refusal)
            !relay.isComplete(head) -> onFailed(AttemptEnd.Broken)
            head.isFailure() && !relay.started && tryRetry(RetryReason.Failure) -> retryAfterErrorResponse(head)
            else -> finish(head)
        }
    }

    private fun finish(head: HttpResponse) {
        recordOutcome(good = !head.isFailure())
        watch.responseReceived { true }
        if (head.isSuccess()) watch.answerCompleted()
        arrivals.attemptEnded(ran = true)
        detachAttempt()
        end(head.status().code(), failure = null)
        if (callerDisconnected) relay.discardUnsent() else relay.finish(head)
    }

    /** Retries on another upstream after an error response to an executed request. */
    private fun retryAfterErrorResponse(head: HttpResponse) {
        recordOutcome(good = false)
        context.logExchange(this, "upstream_failed_request", mapOf("status" to head.status().code()))
        target?.let { excluded += it.upstream.id }
        releaseAttempt(cancel = false)
        waitForUpstream()
    }

    /** Handles a response which states that the upstream has not executed the request and will not execute it. */
    private fun handleRefusal(
        head: HttpResponse,
        refusal: UpstreamRefusal,
    ) {
        val upstream = target ?: return
        val fields = mapOf("status" to head.status().code(), "refusal" to refusal.name)
        context.logExchange(this, "upstream_refused", fields)
        if (refusal == UpstreamRefusal.Rejected) excluded += upstream.upstream.id else upstream.recordRefusal(refusal)
        releaseAttempt(cancel = false, ran = false)
        when {
            callerDisconnected -> abandon()
            refusal == UpstreamRefusal.Rejected && attempts >= MAX_REJECTIONS ->
                fail(rejectedByUpstreams(execution, attempts))
            !tryRetry(RetryReason.Rejection) -> fail(rejectionsExhausted(this, context.retryAfterMillis(this)))
            else -> waitForUpstream()
        }
    }

    override fun onFailed(
        end: AttemptEnd,
        fault: ResponseFault?,
    ) {
        val upstream = target
        if (phase == ExchangePhase.Ended || upstream == null) return
        val neverSent = end == AttemptEnd.NotConnected
        val fields = mapOf("end" to end.name, "fault" to fault?.name, "answerBegun" to (response != null))
        context.logExchange(this, "attempt_failed", fields)
        if (fault != null) context.meters.responseRejected(upstream.upstream.pool, fault.name)
        if (neverSent) {
            arrivals.notSent()
            upstream.pause()
        } else if (end != AttemptEnd.ClosedUnanswered) {
            recordOutcome(good = false)
        }
        upstream.assumeCold(ASSUMED_COLD_MILLIS)
        excluded += upstream.upstream.id
        releaseAttempt(cancel = true, ran = !neverSent)
        phase = ExchangePhase.Waiting
        val proceed = {
            when {
                phase == ExchangePhase.Ended -> Unit
                callerDisconnected -> abandon()
                // A request that has not been sent may wait for another upstream until its deadline.
                neverSent && arrivals.tryNext(RetryReason.Failure) -> waitForUpstream()
                tryRetry(RetryReason.Failure) -> waitForUpstream()
                else -> fail(brokenOff(execution, end))
            }
        }
        // An upstream that leaves ends by plan. After any other, a request is sent again only once it is checked for a
        // crash: one that crashes upstreams would take the next one at once.
        if (neverSent || upstream.isLeaving) proceed() else watch.attemptBroken(upstream.upstream, proceed)
    }

    private fun recordOutcome(good: Boolean) {
        val upstream = target ?: return
        if (good) upstream.recordSuccess() else upstream.recordFailure()
        context.recordOutcome(this, upstream.upstream, good, context.nowMillis() - sentAtMillis)
    }

    /** Releases the attempt and discards its unsent data; [ran] states whether the upstream may have executed it. */
    private fun releaseAttempt(
        cancel: Boolean,
        ran: Boolean = true,
    ) {
        arrivals.attemptEnded(ran)
        if (cancel) attempt?.cancel()
        detachAttempt()
        relay.discardUnsent()
    }

    private fun detachAttempt() {
        if (attempt != null) target?.requestEnded()
        if (attempt != null) watch.work?.ended(context.nowMillis())
        progress.attemptEnded()
        attempt = null
        target = null
    }

    /** Takes a permit for another arrival if its response can be of use and the request may be sent again. */
    private fun tryRetry(reason: RetryReason): Boolean {
        val inTime = request.deadlineAtMillis - context.nowMillis() >= MIN_REMAINING_MILLIS
        return inTime && !callerDisconnected && arrivals.tryNext(reason)
    }

    private fun waitForUpstream() {
        phase = ExchangePhase.Waiting
        waitingSinceMillis = context.nowMillis()
        context.enqueue(this)
    }

    /** Ends the exchange with [failure]; its status implies non-execution only when that is certain. */
    fun fail(failure: Failure) {
        if (phase == ExchangePhase.Ended) return
        val reply = localReplyTo(failure)
        end(reply.status, failure.kind)
        if (callerDisconnected) reply.content.release() else relay.endWith(reply)
    }

    override fun onCallerDisconnected() {
        if (phase == ExchangePhase.Ended) return
        callerDisconnected = true
        val letRequestFinish = phase == ExchangePhase.Sent && !route.retryable && !route.streaming
        if (!letRequestFinish) abandon()
    }

    private fun abandon() {
        context.attemptAbandoned(this)
        releaseAttempt(cancel = true)
        end(ErrorKind.CallerGone.status, ErrorKind.CallerGone)
    }

    override fun onCallerWritable(writable: Boolean) {
        attempt?.setReadingPaused(!writable)
    }

    private fun end(
        status: Int,
        failure: ErrorKind?,
    ) {
        phase = ExchangePhase.Ended
        arrivals.end()
        request.body.release()
        context.exchangeEnded(ExchangeOutcome(this, status, failure))
    }
}
