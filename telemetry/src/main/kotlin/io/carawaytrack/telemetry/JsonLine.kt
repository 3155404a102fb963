/*
 * Formats a log event as one line of JSON. A restarted process is available sooner when it loads fewer classes before
 * its first log line, so the line is built with classes that the process loads in any case.
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

/** Returns [event] as a JSON object on one line; event-specific fields follow the standard log fields. */
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
    event.keyValuePairs?.forEach { fields[it.key] = jsonElement(it.value) }
    event.throwableProxy?.let { fields["stackTrace"] = JsonPrimitive(ThrowableProxyUtil.asString(it)) }
    fields["node"] = JsonPrimitive(origin.node.value)
    fields["role"] = JsonPrimitive(origin.role.name)
    fields["availabilityZone"] = JsonPrimitive(origin.zone.value)
    return JsonObject(fields).toString()
}

private fun timestampOf(event: ILoggingEvent): String {
    val instant = event.instant ?: return Instant.fromEpochMilliseconds(event.timeStamp).toString()
    return Instant.fromEpochSeconds(instant.epochSecond, instant.nano).toString()
}

private fun jsonElement(value: Any?): JsonElement = when (value) {
    null -> JsonNull
    is Number -> JsonPrimitive(value)
    is Boolean -> JsonPrimitive(value)
    is Iterable<*> -> JsonArray(value.map(::jsonElement))
    is Map<*, *> -> JsonObject(value.entries.associate { (name, element) -> name.toString() to jsonElement(element) })
    else -> JsonPrimitive(value.toString())
}
