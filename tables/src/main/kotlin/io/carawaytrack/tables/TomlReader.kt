/*
 * The reading of one TOML table with the place of every value kept. A fault does not stop the reading: it is reported,
 * and the caller goes on with a stand-in, so that one pass finds all faults of a file.
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

/** Key of a fault that concerns the file as a whole. */
private const val FILE_KEY = "(file)"

/** Key of a fault that the parser found. */
private const val SYNTAX_KEY = "(syntax)"

/** Longest rendering of a value in a fault, in characters. */
private const val SHOWN_VALUE_CHARS = 80

/** Stands in for an address that could not be read. */
private val NO_ADDRESS = HostPort("127.0.0.1", 0)

/**
 * Holds what was read of a file, with every fault by line.
 *
 * @property value null when the file could not be read at all
 * @property parsed false when the file is unreadable or its syntax is at fault, so that keys may have been skipped
 * @property lines line of each key that was read, by its full path
 */
internal data class Reading<out T : Any>(
    val value: T?,
    val faults: List<Fault>,
    val parsed: Boolean,
    val lines: Map<String, Int>,
) {
    /** Returns the value, or null when keys may have been skipped. */
    fun completeValue(): T? = value.takeIf { parsed }
}

/** Parses [file] and reads its root table through [read]. */
internal fun <T : Any> readToml(
    file: Path,
    read: TomlReader.() -> T,
): Reading<T> {
    val text =
        try {
            Files.readString(file)
        } catch (e: IOException) {
            val fault = Fault(file.toString(), 0, FILE_KEY, e.toString(), "a readable file in UTF-8")
            return Reading(null, listOf(fault), parsed = false, lines = emptyMap())
        }
    val root = Toml.parse(text)
    val syntaxFaults = syntaxFaults(file, text, root)
    val journal = ReadingJournal(file.toString(), text.lines())
    val value = TomlReader(journal, TomlPlace(root)).readAll(read)
    val valueFaults = journal.faults.filter { syntaxFaults.isEmpty() || it.value != null }
    val faults = (syntaxFaults + valueFaults).sortedBy(Fault::line)
    return Reading(value, faults, parsed = syntaxFaults.isEmpty(), lines = journal.lines)
}

private fun syntaxFaults(
    file: Path,
    text: String,
    root: TomlParseResult,
): List<Fault> {
    val source = text.lines()
    return root.errors().map { error ->
        val line = error.position().line()
        val written = source.getOrNull(line - 1).orEmpty().trim()
        Fault(file.toString(), line, SYNTAX_KEY, shorten(written), "valid TOML (${error.message})")
    }
}

/** Collects the faults and the places of one file. */
internal class ReadingJournal(
    private val file: String,
    private val source: List<String>,
) {
    val faults = mutableListOf<Fault>()
    val lines = mutableMapOf<String, Int>()

    /**
     * Returns the line of the value at [position]. The parser places an element of a list that stands on a line of its
     * own at the line break before it.
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
 * Places one TOML table in its file.
 *
 * @property prefix full path of the table, empty for the root
 * @property headerLine line at which the table starts, 0 for the root
 */
internal class TomlPlace(
    private val table: TomlTable,
    val prefix: String = "",
    val headerLine: Int = 0,
) {
    fun fullKey(key: String): String = if (prefix.isEmpty()) key else "$prefix.$key"

    fun lineOf(path: List<String>): Int =
        if (valueAt(path) == null) headerLine else table.inputPositionOf(path)?.line() ?: headerLine

    fun valueAt(path: List<String>): Any? =
        path.fold<String, Any?>(table) { found, name -> (found as? TomlTable)?.get(listOf(name)) }

    /** Returns the paths of all values. */
    fun values(): Set<List<String>> = table.keyPathSet()

    /** Returns the paths of the tables that hold nothing. */
    fun emptyTables(): List<List<String>> =
        table.keyPathSet(true).filter { path -> (valueAt(path) as? TomlTable)?.isEmpty ?: false }
}

/** Reads the keys of one TOML table. */
internal class TomlReader(
    private val journal: ReadingJournal,
    private val place: TomlPlace,
) : SettingsReader {
    private val asked = linkedSetOf<List<String>>()

    /** Reads through [read] and reports the keys that it did not ask for. */
    fun <T : Any> readAll(read: TomlReader.() -> T): T {
        if (place.prefix.isNotEmpty()) journal.lines[place.prefix] = place.headerLine
        val value = read()
        reportUnknownKeys()
        return value
    }

    /** Returns whether [key] stands in the file, without asking for it. */
    fun has(key: String): Boolean = place.valueAt(pathOf(key)) != null

    /** Reports that the value of [key] is not what is [expected]. */
    fun report(
        key: String,
        expected: String,
    ) {
        val path = pathOf(key)
        journal.report(place.lineOf(path), place.fullKey(key), place.valueAt(path), expected)
    }

    /** Reads each table of the array of tables [key], none when absent. */
    fun <T : Any> tables(
        key: String,
        read: TomlReader.() -> T,
    ): List<T> {
        val found = find(key) ?: return emptyList()
        return elements(key, found, "a table, written [[$key]]") { element, index, line ->
            val child = element as? TomlTable
            child?.let { TomlReader(journal, TomlPlace(it, place.fullKey("$key[$index]"), line)).readAll(read) }
        }
    }

    /** Reads a number, whole or with a fraction. */
    fun decimal(
        key: String,
        default: Double? = null,
    ): Double = value(key, default, 0.0, "a number") { (it as? Number)?.toDouble() }

    override fun text(
        key: String,
        default: String?,
    ): String = value(key, default, "", "a text that is not blank", ::textOf)

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
    ): Long = value(key, default, allowed.first, "a whole number from ${allowed.first} to ${allowed.last}") { found ->
        (found as? Long)?.takeIf { it in allowed }
    }

    override fun flag(
        key: String,
        default: Boolean?,
    ): Boolean = value(key, default, false, "true or false") { it as? Boolean }

    override fun textList(
        key: String,
        default: List<String>?,
    ): List<String> = list(key, default, "a text that is not blank", ::textOf)

    override fun choice(
        key: String,
        allowed: Set<String>,
        default: String?,
    ): String = value(key, default, allowed.firstOrNull().orEmpty(), "one of ${allowed.joinToString()}") { found ->
        (found as? String)?.takeIf { it in allowed }
    }

    override fun address(
        key: String,
        default: HostPort?,
    ): HostPort = value(key, default, NO_ADDRESS, ADDRESS, ::addressOf)

    override fun addressList(
        key: String,
        default: List<HostPort>?,
    ): List<HostPort> = list(key, default, ADDRESS, ::addressOf)

    override fun optionalAddress(key: String): HostPort? = if (find(key) == null) null else address(key, null)

    override fun addressTable(key: String): Map<String, HostPort> =
        table(key, "a table of addresses") { address(it, null) }

    override fun textTable(key: String): Map<String, String> = table(key, "a table of texts") { text(it, null) }

    private fun <T> table(
        key: String,
        expected: String,
        read: TomlReader.(key: String) -> T,
    ): Map<String, T> {
        val found = find(key) ?: return emptyMap()
        val entries = found as? TomlTable
        if (entries == null) {
            report(key, expected)
            return emptyMap()
        }
        val reader = TomlReader(journal, TomlPlace(entries, place.fullKey(key), place.lineOf(pathOf(key))))
        return entries.keySet().associateWith { reader.read(Toml.joinKeyPath(listOf(it))) }
    }

    /** Marks [key] as known and returns its value, or null when it is absent. */
    private fun find(key: String): Any? {
        val path = pathOf(key)
        asked += path
        journal.lines[place.fullKey(key)] = place.lineOf(path)
        return place.valueAt(path)
    }

    private fun <T : Any> value(
        key: String,
        default: T?,
        standIn: T,
        expected: String,
        convert: (Any) -> T?,
    ): T {
        val found = find(key)
        val read = if (found == null) default else convert(found)
        if (read == null) report(key, expected)
        return read ?: default ?: standIn
    }

    private fun <T : Any> list(
        key: String,
        default: List<T>?,
        expected: String,
        convert: (Any) -> T?,
    ): List<T> {
        val found = find(key)
        if (found == null && default == null) report(key, "a list, each $expected")
        if (found == null) return default.orEmpty()
        return elements(key, found, expected) { element, _, _ -> convert(element) }
    }

    private fun <T : Any> elements(
        key: String,
        found: Any,
        expected: String,
        convert: (element: Any, index: Int, line: Int) -> T?,
    ): List<T> {
        val array = found as? TomlArray
        if (array == null) {
            report(key, "a list, each $expected")
            return emptyList()
        }
        return array.toList().mapIndexedNotNull { index, element ->
            val line = journal.valueLine(array.inputPositionOf(index))
            journal.lines[place.fullKey("$key[$index]")] = line
            val converted = convert(element, index, line)
            if (converted == null) journal.report(line, place.fullKey("$key[$index]"), element, expected)
            converted
        }
    }

    private fun reportUnknownKeys() {
        val known = "a known key: " + asked.map(Toml::joinKeyPath).sorted().joinToString()
        val values = place.values().filterNot(::isKnown)
        val emptyTables = place.emptyTables().filterNot { isKnown(it) || asked.any { known -> known.startsWith(it) } }
        (values + emptyTables).forEach { path -> report(Toml.joinKeyPath(path), known) }
    }

    private fun isKnown(path: List<String>): Boolean = asked.any(path::startsWith)
}

private const val ADDRESS = "an address such as 127.0.0.1:7000"

private fun textOf(found: Any): String? = (found as? String)?.takeIf(String::isNotBlank)

private fun addressOf(found: Any): HostPort? = (found as? String)?.let(HostPort::parse)

private fun <T> List<T>.startsWith(beginning: List<T>): Boolean = take(beginning.size) == beginning

private fun render(found: Any): String = when (found) {
    is TomlArray -> shorten(found.toList().joinToString(prefix = "[", postfix = "]", transform = ::render))
    is TomlTable -> "(table)"
    else -> shorten(found.toString())
}

private fun shorten(text: String): String =
    if (text.length <= SHOWN_VALUE_CHARS) text else text.take(SHOWN_VALUE_CHARS) + "..."

private fun pathOf(key: String): List<String> = Toml.parseDottedKey(key)
