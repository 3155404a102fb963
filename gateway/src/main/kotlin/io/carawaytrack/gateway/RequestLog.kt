/*
 * Log events about requests. Refusals, failures and retries are always logged, up to a limit per second. Ordinary
 * requests are sampled by a hash of their identifier, so that every host logs the same requests.
 */
package io.carawaytrack.gateway

import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException

private val logger = KotlinLogging.logger {}

/** One in this many ordinary requests is logged. */
private const val REQUESTS_PER_SAMPLE = 16

/** Limit on request log lines: at a few hundred bytes each, a small part of a slow host's network link. */
private const val MAX_LINES_PER_SECOND = 150

private const val MILLIS_PER_SECOND = 1_000L

internal class RequestLog(
    private val nowMillis: () -> Long,
) {
    private var second = 0L
    private var lines = 0

    /** Logs [event] for [exchange], with the state on which the decision was based. */
    fun write(
        event: String,
        exchange: Exchange,
        configurationVersion: Long?,
        detail: Map<String, Any?>,
    ) {
        if (!tryAcquireLine()) return
        val request = exchange.request
        val target = exchange.target
        val common =
            mapOf(
                "requestId" to request.id,
                "route" to request.route.name,
                "organisation" to request.organisation?.name?.value,
                "upstream" to target?.upstream?.id?.value,
                "modelIndex" to exchange.modelIndex,
                "configuration" to configurationVersion,
                "heardMillisAgo" to target?.let { nowMillis() - it.announcedAtMillis },
                "load" to target?.estimatedLoad(),
            )
        logEvent(event, common + detail)
    }

    /** Returns whether the ordinary request [id] is part of the sample. */
    fun isSampled(id: String): Boolean = (unitHash(id) * REQUESTS_PER_SAMPLE).toInt() == 0

    private fun tryAcquireLine(): Boolean {
        val now = nowMillis() / MILLIS_PER_SECOND
        if (now != second) {
            if (lines > MAX_LINES_PER_SECOND) logEvent("lines_dropped", mapOf("lines" to lines - MAX_LINES_PER_SECOND))
            second = now
            lines = 0
        }
        return ++lines <= MAX_LINES_PER_SECOND
    }
}

/** Logs an [event] that is not specific to a request. */
internal fun logEvent(
    event: String,
    fields: Map<String, Any?>,
): Unit = logger.event(event, fields)

/** Logs the [cause] that ended a connection of the given [side], unless it is a network error. */
internal fun logUnexpected(
    side: String,
    cause: Throwable,
) {
    if (cause !is IOException) logger.error(cause) { "connection_failed side=$side" }
}
