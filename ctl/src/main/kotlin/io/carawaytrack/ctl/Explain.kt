/*
 * The story of one request, read from the logs of any number of processes: the lines that carry its identifier, those
 * that changed what its hosts believed meanwhile, and what no line says.
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

/** Time before a request's first line in which events on its hosts and upstreams concern it, in milliseconds. */
private const val BEFORE_MILLIS = 5_000L

/** Time after its last line, in milliseconds: a host that was killed is back by then. */
private const val AFTER_MILLIS = 3_000L

private const val REQUEST_ID = "requestId"
private const val UPSTREAM = "upstream"
private const val NODE = "node"

/** Events that end a request's story. */
private val endings = setOf("request_ended", "request_refused")

/** Events of a host that bear on every request it has. */
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

/** Events that tell of an upstream. */
private val upstreamEvents = setOf("upstream_changed", "upstream_gone")

/** Fields that say who wrote a line, and how, rather than what happened. */
private val frame =
    setOf("timestamp", "message", NODE, "role", "availabilityZone", "logger", "thread", "level", REQUEST_ID)

/**
 * Holds one line of a log.
 *
 * @property ofRequest whether the line carries the request's identifier; the others only bear on it
 */
@Serializable
internal data class StoryLine(
    val timestamp: String,
    val node: String,
    val event: String,
    val ofRequest: Boolean,
    val fields: JsonObject,
)

/**
 * Tells what the logs say of one request.
 *
 * @property lines in order of time; the clocks of hosts may differ
 * @property missing what the logs don't say, and why that may be
 */
@Serializable
internal data class Story(
    val requestId: String,
    val lines: List<StoryLine>,
    val missing: List<String>,
)

/** A line that was read, with the moment at which it was written. */
private class Entry(
    val at: Instant,
    val json: JsonObject,
) {
    val node = json.text(NODE).orEmpty()
    val event = json.text("message").orEmpty()
    val upstream = json.text(UPSTREAM)

    fun isOf(requestId: String) = json.text(REQUEST_ID) == requestId

    fun toLine(requestId: String) = StoryLine(
        timestamp = json.text("timestamp").orEmpty(),
        node = node,
        event = event,
        ofRequest = isOf(requestId),
        fields = JsonObject(json.filterKeys { it !in frame }),
    )
}

/** Returns what [lines] say of the request [requestId]; text before the first brace of a line is passed over. */
internal fun explain(
    requestId: String,
    lines: Sequence<String>,
): Story {
    val log = lines.mapNotNull(::entry).sortedBy { it.at }.toList()
    val own = log.filter { it.isOf(requestId) }
    if (own.isEmpty()) return Story(requestId, emptyList(), listOf(nothingSaid(log)))
    val around = log.filter { it.bearsOn(own) }
    val lastViews = own.map { it.node }.distinct().mapNotNull { node -> lastViewBefore(own.first(), node, log) }
    val story = (own + around + lastViews).distinct().sortedBy { it.at }
    return Story(requestId, story.map { it.toLine(requestId) }, missing(own, log))
}

private fun entry(line: String): Entry? {
    val start = line.indexOf('{')
    if (start < 0) return null
    return try {
        val json = Json.parseToJsonElement(line.substring(start)).jsonObject
        json.text("timestamp")?.let { Entry(Instant.parse(it), json) }
    } catch (_: IllegalArgumentException) {
        // Logs hold lines of other programs too, such as those of the Java machine.
        null
    } catch (_: DateTimeParseException) {
        null
    }
}

private fun Entry.bearsOn(own: List<Entry>): Boolean {
    val from = own.first().at.minusMillis(BEFORE_MILLIS)
    val until = own.last().at.plusMillis(AFTER_MILLIS)
    if (at < from || at > until || own.none { it.node == node }) return false
    return event in hostEvents || event in upstreamEvents && own.any { it.upstream == upstream }
}

private fun lastViewBefore(
    first: Entry,
    node: String,
    log: List<Entry>,
): Entry? = log.lastOrNull { it.node == node && it.event == "view_adopted" && it.at <= first.at }

private fun nothingSaid(log: List<Entry>): String {
    if (log.isEmpty()) return "no line of a log was read"
    val nodes = log.map { it.node }.distinct().sorted()
    val dropped = log.filter { it.event == "lines_dropped" }.map { it.node }.distinct()
    val loss = if (dropped.isEmpty()) "" else "; lines were dropped on ${dropped.joinToString()}"
    return "no line carries the identifier: expected one on its host unless it ended well at the first attempt and " +
        "was not sampled; read ${log.size} lines of ${nodes.joinToString()} " +
        "from ${log.first().at} to ${log.last().at}$loss"
}

private fun missing(
    own: List<Entry>,
    log: List<Entry>,
): List<String> = listOfNotNull(missingEnd(own, log)) + missingUpstreams(own, log)

private fun missingEnd(
    own: List<Entry>,
    log: List<Entry>,
): String? {
    if (own.any { it.event in endings }) return null
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
    own: List<Entry>,
    log: List<Entry>,
): List<String> {
    val told = log.filter { it.event in upstreamEvents }.mapNotNull { it.upstream }.toSet()
    return own
        .mapNotNull { it.upstream }
        .distinct()
        .filterNot { it in told }
        .map { "no line says when upstream $it was first known; the logs may begin later" }
}

/** Writes a story for people. */
internal fun storyText(story: Story): String {
    val lines =
        story.lines.map { line ->
            val mark = if (line.ofRequest) "*" else " "
            val fields = line.fields.entries.joinToString(" ") { (name, value) -> "$name=${value.shown()}" }
            "$mark ${line.timestamp} ${line.node} ${line.event} $fields".trimEnd()
        }
    val missing = story.missing.map { "missing: $it" }
    return (listOf("request ${story.requestId}") + lines + missing).joinToString("\n")
}

private fun JsonElement.shown(): String = if (this is JsonPrimitive) content else toString()

private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.contentOrNull
