/*
 * Derives the reference of a process's settings from the function that reads them, so that it cannot differ from the
 * code.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.HostPort

/**
 * Describes one key of a settings file.
 *
 * @property allowed description of the allowed values
 * @property default default value, null for a required key
 */
public data class SettingDescription(
    val key: String,
    val allowed: String,
    val default: String?,
)

/** Returns the keys that [read] reads, in the same order. */
public fun describeSettings(read: SettingsReader.() -> Any): List<SettingDescription> {
    val reader = DescribingReader()
    reader.read()
    return reader.descriptions
}

/** Formats [settings] as the rows of a Markdown table. */
public fun markdownRows(settings: List<SettingDescription>): String = settings.joinToString("\n") { setting ->
    val default = setting.default?.let { "`$it`" } ?: "required"
    "| `${setting.key}` | ${setting.allowed} | $default |"
}

private class DescribingReader : SettingsReader {
    val descriptions = mutableListOf<SettingDescription>()

    override fun text(
        key: String,
        default: String?,
    ): String {
        record(key, "text", default)
        return default ?: "text"
    }

    override fun optionalText(key: String): String? {
        record(key, "text", "")
        return null
    }

    override fun int(
        key: String,
        allowed: IntRange,
        default: Int?,
    ): Int {
        record(key, "${allowed.first} to ${allowed.last}", default)
        return default ?: allowed.first
    }

    override fun long(
        key: String,
        allowed: LongRange,
        default: Long?,
    ): Long {
        record(key, "${allowed.first} to ${allowed.last}", default)
        return default ?: allowed.first
    }

    override fun flag(
        key: String,
        default: Boolean?,
    ): Boolean {
        record(key, "true or false", default)
        return default ?: false
    }

    override fun textList(
        key: String,
        default: List<String>?,
    ): List<String> {
        record(key, "list of texts", default)
        return default.orEmpty()
    }

    override fun choice(
        key: String,
        allowed: Set<String>,
        default: String?,
    ): String {
        record(key, allowed.joinToString(" or "), default)
        return default ?: allowed.first()
    }

    override fun address(
        key: String,
        default: HostPort?,
    ): HostPort {
        record(key, "host:port", default)
        return default ?: HostPort("127.0.0.1", 0)
    }

    override fun addressList(
        key: String,
        default: List<HostPort>?,
    ): List<HostPort> {
        record(key, "list of host:port", default)
        return default.orEmpty()
    }

    override fun optionalAddress(key: String): HostPort? {
        record(key, "host:port", "")
        return null
    }

    override fun addressTable(key: String): Map<String, HostPort> {
        record(key, "table of host:port", "{}")
        return emptyMap()
    }

    override fun textTable(key: String): Map<String, String> {
        record(key, "table of texts", "{}")
        return emptyMap()
    }

    private fun record(
        key: String,
        allowed: String,
        default: Any?,
    ) {
        descriptions += SettingDescription(key, allowed, default?.toString())
    }
}
