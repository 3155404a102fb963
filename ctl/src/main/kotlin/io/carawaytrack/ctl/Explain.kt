/*
 * Timeline of one request, built from the logs of any number of processes: the lines that carry its identifier, the
 * events that meanwhile changed the state known to its hosts, and what no line reports.
 */
package io.carawaytrack.ctl

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import java.time.Instant
import java.time.format.DateTimeParseException

/** Time before a request's first line in which events on its hosts and upstreams are included. */
private const val INCLUDED_BEFORE_MILLIS = 5_000L

/** Time after a request's last line in which such events are included; a killed host has restarted by then. */
private const val INCLUDED_AFTER_MILLIS = 3_000L

private const val REQUEST_ID_FIELD = "requestId"
private const val UPSTREAM_FIELD = "upstream"
private const val NODE_FIELD = "node"

/** Events that end a request. */
private val finalEvents = setOf("request_ended", "request_refused")

/** Events of a host that may affect each of its requests. */
private val hostEvents =
    setOf(
        "started",
        "stopping",
        "stopped",
        "settings_reloaded",
        "view_adopted",
        "peer_lost",
        "peer_linked",
        "link_silent",
        "replica_halted",
        "storage_failed",
        "rollout_judged",
        "lines_dropped",
    )

/** Events that report a change of an upstream. */
private val upstreamEvents = setOf("upstream_changed", "upstream_gone")

/** Fields that describe a line's origin, or that a timeline shows outside [TimelineLine.fields]. */
private val originFields =
    setOf("timestamp", "message", NODE_FIELD, "role", "availabilityZone", "logger", "thread", "level", REQUEST_ID_FIELD)

/**
 * Describes one log line of a timeline.
 *
 * @property ofRequest whether the line carries the request's identifier; the other lines may have affected the request
 */
@Serializable
internal data class TimelineLine(
    val timestamp: String,
    val node: String,
    val event: String,
    val ofRequest: Boolean,
    val fields: JsonObject,
)

/**
 * Describes what the logs contain about one request.
 *
 * @property lines in order of time; the clocks of hosts may differ
 * @property missing what the logs do not contain, with the likely reason
 */
@Serializable
internal data class RequestTimeline(
    val requestId: String,
    val lines: List<TimelineLine>,
    val missing: List<String>,
)

/** A parsed log line and the time at which it was written. */
private class LogLine(
    val at: Instant,
    val json: JsonObject,
) {
    val node = json.text(NODE_FIELD).orEmpty()
    val event = json.text("message").orEmpty()
    val upstream = json.text(UPSTREAM_FIELD)

    fun isOf(requestId: String) = json.text(REQUEST_ID_FIELD) == requestId

    fun toLine(requestId: String) = TimelineLine(
        timestamp = json.text("timestamp").orEmpty(),
        node = node,
        event = event,
        ofRequest = isOf(requestId),
        fields = JsonObject(json.filterKeys { it !in originFields }),
    )
}

/** Returns the timeline of the request [requestId]; ignores the text before the first brace of each of the [lines]. */
internal fun explain(
    requestId: String,
    lines: Sequence<String>,
): RequestTimeline {
    val log = lines.mapNotNull(::parseLogLine).sortedBy { it.at }.toList()
    val own = log.filter { it.isOf(requestId) }
    if (own.isEmpty()) return RequestTimeline(requestId, emptyList(), listOf(noLineFound(log)))
    val related = log.filter { it.isRelatedTo(own) }
    val lastViews = own.map { it.node }.distinct().mapNotNull { node -> lastViewBefore(own.first(), node, log) }
    val included = (own + related + lastViews).distinct().sortedBy { it.at }
    return RequestTimeline(requestId, included.map { it.toLine(requestId) }, missing(own, log))
}

private fun parseLogLine(line: String): LogLine? {
    val start = line.indexOf('{')
    if (start < 0) return null
    return try {
        val json = Json.parseToJsonElement(line.substring(start)).jsonObject
        json.text("timestamp")?.let { LogLine(Instant.parse(it), json) }
    } catch (_: IllegalArgumentException) {
        // Logs also contain lines of other programs, such as the Java virtual machine.
        null
    } catch (_: DateTimeParseException) {
        null
    }
}

private fun LogLine.isRelatedTo(own: List<LogLine>): Boolean {
    val from = own.first().at.minusMillis(INCLUDED_BEFORE_MILLIS)
    val until = own.last().at.plusMillis(INCLUDED_AFTER_MILLIS)
    if (at < from || at > until || own.none { it.node == node }) return false
    return event in hostEvents || event in upstreamEvents && own.any { it.upstream == upstream }
}

private fun lastViewBefore(
    first: LogLine,
    node: String,
    log: List<LogLine>,
): LogLine? = log.lastOrNull { it.node == node && it.event == "view_adopted" && it.at <= first.at }

private fun noLineFound(log: List<LogLine>): String {
    if (log.isEmpty()) return "no line of a log was read"
    val nodes = log.map { it.node }.distinct().sorted()
    val dropped = log.filter { it.event == "lines_dropped" }.map { it.node }.distinct()
    val loss = if (dropped.isEmpty()) "" else "; lines were dropped on ${dropped.joinToString()}"
    return "no line carries the identifier: expected one on its host unless it ended well at the first attempt and " +
        "was not sampled; read ${log.size} lines of ${nodes.joinToString()} " +
        "from ${log.first().at} to ${log.last().at}$loss"
}

private fun missing(
    own: List<LogLine>,
    log: List<LogLine>,
): List<String> = listOfNotNull(missingEnd(own, log)) + missingUpstreams(own, log)

private fun missingEnd(
    own: List<LogLine>,
    log: List<LogLine>,
): String? {
    if (own.any { it.event in finalEvents }) return null
    val last = own.last()
    val later = log.filter { it.node == last.node && it.at > last.at }
    val restart = later.firstOrNull { it.event == "started" }
    val stop = later.firstOrNull { it.event == "stopped" || it.event == "stopping" }
    return "no line says how the request ended: " +
        when {
            restart != null && (stop == null || stop.at > restart.at) ->
                "${last.node} started anew at ${restart.at} without having stopped, so it was killed or lost its power"
            stop != null -> "${last.node} was told to stop at ${stop.at}"
            later.isEmpty() -> "the log of ${last.node} ends at ${last.at}, with the request's last line"
            later.any { it.event == "lines_dropped" } -> "${last.node} dropped lines after ${last.at}"
            else -> "it was unfinished when the log of ${last.node} ended, at ${later.last().at}"
        }
}

private fun missingUpstreams(
    own: List<LogLine>,
    log: List<LogLine>,
): List<String> {
    val reported = log.filter { it.event in upstreamEvents }.mapNotNull { it.upstream }.toSet()
    return own
        .mapNotNull { it.upstream }
        .distinct()
        .filterNot { it in reported }
        .map { "no line says when upstream $it was first known; the logs may begin later" }
}

/** Renders a timeline as text. */
internal fun timelineText(timeline: RequestTimeline): String {
    val lines =
        timeline.lines.map { line ->
            val mark = if (line.ofRequest) "*" else " "
            val fields = line.fields.entries.joinToString(" ") { (name, value) -> "$name=${value.toText()}" }
            "$mark ${line.timestamp} ${line.node} ${line.event} $fields".trimEnd()
        }
    val missing = timeline.missing.map { "missing: $it" }
    return (listOf("request ${timeline.requestId}") + lines + missing).joinToString("\n")
}

private fun JsonElement.toText(): String = if (this is JsonPrimitive) content else toString()

private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.contentOrNull
