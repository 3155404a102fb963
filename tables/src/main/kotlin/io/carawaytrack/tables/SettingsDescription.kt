/*
 * Describes the settings of a process by asking its own reading function, so that the reference cannot differ from the
 * code.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.HostPort

/**
 * Describes one key of a settings file.
 *
 * @property default null for a required key
 */
public data class SettingDescription(
    val key: String,
    val allowed: String,
    val default: String?,
)

/** Lists the keys that [read] asks for, in its order. */
public fun describeSettings(read: SettingsReader.() -> Any): List<SettingDescription> {
    val reader = DescribingReader()
    reader.read()
    return reader.described
}

/** Renders [settings] as the rows of a Markdown table. */
public fun markdownRows(settings: List<SettingDescription>): String = settings.joinToString("\n") { setting ->
    val default = setting.default?.let { "`$it`" } ?: "required"
    "| `${setting.key}` | ${setting.allowed} | $default |"
}

private class DescribingReader : SettingsReader {
    val described = mutableListOf<SettingDescription>()

    override fun text(
        key: String,
        default: String?,
    ): String {
        note(key, "text", default)
        return default ?: "text"
    }

    override fun optionalText(key: String): String? {
        note(key, "text", "")
        return null
    }

    override fun int(
        key: String,
        allowed: IntRange,
        default: Int?,
    ): Int {
        note(key, "${allowed.first} to ${allowed.last}", default)
        return default ?: allowed.first
    }

    override fun long(
        key: String,
        allowed: LongRange,
        default: Long?,
    ): Long {
        note(key, "${allowed.first} to ${allowed.last}", default)
        return default ?: allowed.first
    }

    override fun flag(
        key: String,
        default: Boolean?,
    ): Boolean {
        note(key, "true or false", default)
        return default ?: false
    }

    override fun textList(
        key: String,
        default: List<String>?,
    ): List<String> {
        note(key, "list of texts", default)
        return default.orEmpty()
    }

    override fun choice(
        key: String,
        allowed: Set<String>,
        default: String?,
    ): String {
        note(key, allowed.joinToString(" or "), default)
        return default ?: allowed.first()
    }

    override fun address(
        key: String,
        default: HostPort?,
    ): HostPort {
        note(key, "host:port", default)
        return default ?: HostPort("127.0.0.1", 0)
    }

    override fun addressList(
        key: String,
        default: List<HostPort>?,
    ): List<HostPort> {
        note(key, "list of host:port", default)
        return default.orEmpty()
    }

    override fun optionalAddress(key: String): HostPort? {
        note(key, "host:port", "")
        return null
    }

    override fun addressTable(key: String): Map<String, HostPort> {
        note(key, "table of host:port", "{}")
        return emptyMap()
    }

    override fun textTable(key: String): Map<String, String> {
        note(key, "table of texts", "{}")
        return emptyMap()
    }

    private fun note(
        key: String,
        allowed: String,
        default: Any?,
    ) {
        described += SettingDescription(key, allowed, default?.toString())
    }
}
