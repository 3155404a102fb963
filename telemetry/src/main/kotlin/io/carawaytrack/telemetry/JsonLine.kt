/*
 * One event of the log as a line of JSON. A process that was killed is back the sooner the less it loads before its
 * first line, so the line is built from what is loaded anyway.
 */
package io.carawaytrack.telemetry

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Instant

/** Returns [event] as an object of one line; the fields of the event come after those that every line has. */
internal fun jsonLine(
    event: ILoggingEvent,
    origin: Origin,
): String {
    val fields = LinkedHashMap<String, JsonElement>()
    fields["timestamp"] = JsonPrimitive(timestampOf(event))
    fields["message"] = JsonPrimitive(event.formattedMessage)
    fields["logger"] = JsonPrimitive(event.loggerName)
    fields["thread"] = JsonPrimitive(event.threadName)
    fields["level"] = JsonPrimitive(event.level.levelStr)
    event.mdcPropertyMap.forEach { (name, value) -> fields[name] = JsonPrimitive(value) }
    event.keyValuePairs?.forEach { fields[it.key] = jsonOf(it.value) }
    event.throwableProxy?.let { fields["stackTrace"] = JsonPrimitive(ThrowableProxyUtil.asString(it)) }
    fields["node"] = JsonPrimitive(origin.node.value)
    fields["role"] = JsonPrimitive(origin.role.name)
    fields["availabilityZone"] = JsonPrimitive(origin.zone.value)
    return JsonObject(fields).toString()
}

private fun timestampOf(event: ILoggingEvent): String {
    val at = event.instant ?: return Instant.fromEpochMilliseconds(event.timeStamp).toString()
    return Instant.fromEpochSeconds(at.epochSecond, at.nano).toString()
}

private fun jsonOf(value: Any?): JsonElement = when (value) {
    null -> JsonNull
    is Number -> JsonPrimitive(value)
    is Boolean -> JsonPrimitive(value)
    is Iterable<*> -> JsonArray(value.map(::jsonOf))
    is Map<*, *> -> JsonObject(value.entries.associate { (name, element) -> name.toString() to jsonOf(element) })
    else -> JsonPrimitive(value.toString())
}
