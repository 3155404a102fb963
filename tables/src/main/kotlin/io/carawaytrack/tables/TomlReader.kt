/*
 * Reads a TOML table and records the line of every value. A fault does not abort the read: it is recorded, and the
 * caller continues with a placeholder, so that one pass finds all faults of a file.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.HostPort
import org.tomlj.Toml
import org.tomlj.TomlArray
import org.tomlj.TomlParseResult
import org.tomlj.TomlPosition
import org.tomlj.TomlTable
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Key of a fault that concerns the complete file. */
private const val FILE_KEY = "(file)"

/** Key of a syntax error. */
private const val SYNTAX_KEY = "(syntax)"

/** Maximum length of a value in a fault, in characters; longer values are truncated. */
private const val MAX_VALUE_CHARS = 80

/** Placeholder for an address that is missing or invalid. */
private val PLACEHOLDER_ADDRESS = HostPort("127.0.0.1", 0)

/**
 * Holds the result of reading a file, with all faults sorted by line.
 *
 * @property value null if the file is unreadable
 * @property parsed false if the file is unreadable or has syntax errors, so that keys may have been skipped
 * @property lines line of each key that was read, by full path of the key
 */
internal data class ReadResult<out T : Any>(
    val value: T?,
    val faults: List<Fault>,
    val parsed: Boolean,
    val lines: Map<String, Int>,
) {
    /** Returns the value, or null if keys may have been skipped. */
    fun completeValue(): T? = value.takeIf { parsed }
}

/** Parses [file] and reads its root table with [read]. */
internal fun <T : Any> readToml(
    file: Path,
    read: TomlReader.() -> T,
): ReadResult<T> {
    val text =
        try {
            Files.readString(file)
        } catch (e: IOException) {
            val fault = Fault(file.toString(), 0, FILE_KEY, e.toString(), "a readable file in UTF-8")
            return ReadResult(null, listOf(fault), parsed = false, lines = emptyMap())
        }
    val root = Toml.parse(text)
    val syntaxFaults = syntaxFaults(file, text, root)
    val collector = FaultCollector(file.toString(), text.lines())
    val value = TomlReader(collector, TableLocation(root)).readAll(read)
    val valueFaults = collector.faults.filter { syntaxFaults.isEmpty() || it.value != null }
    val faults = (syntaxFaults + valueFaults).sortedBy(Fault::line)
    return ReadResult(value, faults, parsed = syntaxFaults.isEmpty(), lines = collector.lines)
}

private fun syntaxFaults(
    file: Path,
    text: String,
    root: TomlParseResult,
): List<Fault> {
    val source = text.lines()
    return root.errors().map { error ->
        val line = error.position().line()
        val sourceLine = source.getOrNull(line - 1).orEmpty().trim()
        Fault(file.toString(), line, SYNTAX_KEY, truncate(sourceLine), "valid TOML (${error.message})")
    }
}

/** Collects the faults and the line numbers of one file. */
internal class FaultCollector(
    private val file: String,
    private val source: List<String>,
) {
    val faults = mutableListOf<Fault>()
    val lines = mutableMapOf<String, Int>()

    /**
     * Returns the line of the value at [position]. For a list element on a separate line, the parser reports the
     * position of the preceding line break.
     */
    fun valueLine(position: TomlPosition): Int {
        val first = position.line()
        val start = source.getOrNull(first - 1).orEmpty().drop(position.column() - 1)
        if (!isBlankOrComment(start)) return first
        return (first + 1..source.size).firstOrNull { !isBlankOrComment(source[it - 1]) } ?: first
    }

    private fun isBlankOrComment(text: String): Boolean = text.isBlank() || text.trimStart().startsWith('#')

    fun report(
        line: Int,
        key: String,
        value: Any?,
        expected: String,
    ) {
        faults += Fault(file, line, key, value?.let(::render), expected)
    }
}

/**
 * Maps the keys of one TOML table to full keys and lines of its file.
 *
 * @property prefix full path of the table, empty for the root
 * @property headerLine line at which the table starts, 0 for the root
 */
internal class TableLocation(
    private val table: TomlTable,
    val prefix: String = "",
    val headerLine: Int = 0,
) {
    fun fullKey(key: String): String = if (prefix.isEmpty()) key else "$prefix.$key"

    fun lineOf(path: List<String>): Int =
        if (valueAt(path) == null) headerLine else table.inputPositionOf(path)?.line() ?: headerLine

    fun valueAt(path: List<String>): Any? =
        path.fold<String, Any?>(table) { parent, name -> (parent as? TomlTable)?.get(listOf(name)) }

    /** Returns the paths of all values. */
    fun values(): Set<List<String>> = table.keyPathSet()

    /** Returns the paths of all empty tables. */
    fun emptyTables(): List<List<String>> =
        table.keyPathSet(true).filter { path -> (valueAt(path) as? TomlTable)?.isEmpty ?: false }
}

/** Reads the keys of one TOML table. */
internal class TomlReader(
    private val collector: FaultCollector,
    private val location: TableLocation,
) : SettingsReader {
    private val knownKeys = linkedSetOf<List<String>>()

    /** Reads the table with [read] and reports the keys that it did not read. */
    fun <T : Any> readAll(read: TomlReader.() -> T): T {
        if (location.prefix.isNotEmpty()) collector.lines[location.prefix] = location.headerLine
        val value = read()
        reportUnknownKeys()
        return value
    }

    /** Returns whether [key] is present, without marking it as known. */
    fun has(key: String): Boolean = location.valueAt(pathOf(key)) != null

    /** Reports a value of [key] that differs from [expected]. */
    fun report(
        key: String,
        expected: String,
    ) {
        val path = pathOf(key)
        collector.report(location.lineOf(path), location.fullKey(key), location.valueAt(path), expected)
    }

    /** Reads each table of the array of tables [key]; empty if absent. */
    fun <T : Any> tables(
        key: String,
        read: TomlReader.() -> T,
    ): List<T> {
        val raw = find(key) ?: return emptyList()
        return elements(key, raw, "a table, written [[$key]]") { element, index, line ->
            val child = element as? TomlTable
            child?.let {
                TomlReader(
                    collector,
                    TableLocation(it, location.fullKey("$key[$index]"), line),
                ).readAll(read)
            }
        }
    }

    /** Reads an integer or a floating-point number. */
    fun decimal(
        key: String,
        default: Double? = null,
    ): Double = value(key, default, 0.0, "a number") { (it as? Number)?.toDouble() }

    override fun text(
        key: String,
        default: String?,
    ): String = value(key, default, "", "a text that is not blank", ::nonBlankString)

    override fun optionalText(key: String): String? = text(key, "").ifEmpty { null }

    override fun int(
        key: String,
        allowed: IntRange,
        default: Int?,
    ): Int = long(key, allowed.first.toLong()..allowed.last.toLong(), default?.toLong()).toInt()

    override fun long(
        key: String,
        allowed: LongRange,
        default: Long?,
    ): Long = value(key, default, allowed.first, "a whole number from ${allowed.first} to ${allowed.last}") { raw ->
        (raw as? Long)?.takeIf { it in allowed }
    }

    override fun flag(
        key: String,
        default: Boolean?,
    ): Boolean = value(key, default, false, "true or false") { it as? Boolean }

    override fun textList(
        key: String,
        default: List<String>?,
    ): List<String> = list(key, default, "a text that is not blank", ::nonBlankString)

    override fun choice(
        key: String,
        allowed: Set<String>,
        default: String?,
    ): String = value(key, default, allowed.firstOrNull().orEmpty(), "one of ${allowed.joinToString()}") { raw ->
        (raw as? String)?.takeIf { it in allowed }
    }

    override fun address(
        key: String,
        default: HostPort?,
    ): HostPort = value(key, default, PLACEHOLDER_ADDRESS, ADDRESS_FORMAT, ::parseAddress)

    override fun addressList(
        key: String,
        default: List<HostPort>?,
    ): List<HostPort> = list(key, default, ADDRESS_FORMAT, ::parseAddress)

    override fun optionalAddress(key: String): HostPort? = if (find(key) == null) null else address(key, null)

    override fun addressTable(key: String): Map<String, HostPort> =
        table(key, "a table of addresses") { address(it, null) }

    override fun textTable(key: String): Map<String, String> = table(key, "a table of texts") { text(it, null) }

    private fun <T> table(
        key: String,
        expected: String,
        read: TomlReader.(key: String) -> T,
    ): Map<String, T> {
        val raw = find(key) ?: return emptyMap()
        val entries = raw as? TomlTable
        if (entries == null) {
            report(key, expected)
            return emptyMap()
        }
        val reader = TomlReader(collector, TableLocation(entries, location.fullKey(key), location.lineOf(pathOf(key))))
        return entries.keySet().associateWith { reader.read(Toml.joinKeyPath(listOf(it))) }
    }

    /** Marks [key] as known and returns its value, or null if it is absent. */
    private fun find(key: String): Any? {
        val path = pathOf(key)
        knownKeys += path
        collector.lines[location.fullKey(key)] = location.lineOf(path)
        return location.valueAt(path)
    }

    private fun <T : Any> value(
        key: String,
        default: T?,
        placeholder: T,
        expected: String,
        convert: (Any) -> T?,
    ): T {
        val raw = find(key)
        val read = if (raw == null) default else convert(raw)
        if (read == null) report(key, expected)
        return read ?: default ?: placeholder
    }

    private fun <T : Any> list(
        key: String,
        default: List<T>?,
        expected: String,
        convert: (Any) -> T?,
    ): List<T> {
        val raw = find(key)
        if (raw == null && default == null) report(key, "a list, each $expected")
        if (raw == null) return default.orEmpty()
        return elements(key, raw, expected) { element, _, _ -> convert(element) }
    }

    private fun <T : Any> elements(
        key: String,
        raw: Any,
        expected: String,
        convert: (element: Any, index: Int, line: Int) -> T?,
    ): List<T> {
        val array = raw as? TomlArray
        if (array == null) {
            report(key, "a list, each $expected")
            return emptyList()
        }
        return array.toList().mapIndexedNotNull { index, element ->
            val line = collector.valueLine(array.inputPositionOf(index))
            collector.lines[location.fullKey("$key[$index]")] = line
            val converted = convert(element, index, line)
            if (converted == null) collector.report(line, location.fullKey("$key[$index]"), element, expected)
            converted
        }
    }

    private fun reportUnknownKeys() {
        val known = "a known key: " + knownKeys.map(Toml::joinKeyPath).sorted().joinToString()
        val values = location.values().filterNot(::isKnown)
        val emptyTables =
            location.emptyTables().filterNot {
                isKnown(it) ||
                    knownKeys.any { known -> known.startsWith(it) }
            }
        (values + emptyTables).forEach { path -> report(Toml.joinKeyPath(path), known) }
    }

    private fun isKnown(path: List<String>): Boolean = knownKeys.any(path::startsWith)
}

private const val ADDRESS_FORMAT = "an address such as 127.0.0.1:7000"

private fun nonBlankString(raw: Any): String? = (raw as? String)?.takeIf(String::isNotBlank)

private fun parseAddress(raw: Any): HostPort? = (raw as? String)?.let(HostPort::parse)

private fun <T> List<T>.startsWith(prefix: List<T>): Boolean = take(prefix.size) == prefix

private fun render(raw: Any): String = when (raw) {
    is TomlArray -> truncate(raw.toList().joinToString(prefix = "[", postfix = "]", transform = ::render))
    is TomlTable -> "(table)"
    else -> truncate(raw.toString())
}

private fun truncate(text: String): String =
    if (text.length <= MAX_VALUE_CHARS) text else text.take(MAX_VALUE_CHARS) + "..."

private fun pathOf(key: String): List<String> = Toml.parseDottedKey(key)
