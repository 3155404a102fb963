/*
 * Checked settings of a process. A reader asks for every key by name, type and allowed range; all faults of the file
 * are collected, so that an operator sees them at once.
 */
package io.carawaytrack.tables

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.HostPort
import kotlinx.serialization.Serializable
import java.nio.file.Path

/**
 * Names one fault in a TOML file.
 *
 * @property line line in the file, counted from 1; 0 when the fault has no place in it, such as a missing key
 * @property value what the file says, null when the key is missing
 * @property expected what is allowed
 */
@Serializable
public data class Fault(
    val file: String,
    val line: Int,
    val key: String,
    val value: String?,
    val expected: String,
) {
    /** Renders `file:line: key = value: expected ...`. */
    override fun toString(): String = "$file:$line: $key = ${value ?: "(missing)"}: expected $expected"
}

/** Reads typed values of dotted keys; a fault yields a stand-in value and is reported when the reading ends. */
public interface SettingsReader {
    /** Reads a text that is not blank; without [default] the key is required. */
    public fun text(
        key: String,
        default: String? = null,
    ): String

    /** Reads a text that may be absent, but not blank. */
    public fun optionalText(key: String): String?

    /** Reads a whole number within [allowed]. */
    public fun int(
        key: String,
        allowed: IntRange,
        default: Int? = null,
    ): Int

    /** Reads a whole number within [allowed]. */
    public fun long(
        key: String,
        allowed: LongRange,
        default: Long? = null,
    ): Long

    /** Reads true or false. */
    public fun flag(
        key: String,
        default: Boolean? = null,
    ): Boolean

    /** Reads a list of texts. */
    public fun textList(
        key: String,
        default: List<String>? = null,
    ): List<String>

    /** Reads one of [allowed]. */
    public fun choice(
        key: String,
        allowed: Set<String>,
        default: String? = null,
    ): String

    /** Reads an address such as `127.0.0.1:7000`. */
    public fun address(
        key: String,
        default: HostPort? = null,
    ): HostPort

    /** Reads an address that may be absent. */
    public fun optionalAddress(key: String): HostPort?

    /** Reads a list of addresses. */
    public fun addressList(
        key: String,
        default: List<HostPort>? = null,
    ): List<HostPort>

    /** Reads a table of addresses, such as node name to address; empty when absent. */
    public fun addressTable(key: String): Map<String, HostPort>

    /** Reads a table of texts, such as node name to address; empty when absent. */
    public fun textTable(key: String): Map<String, String>
}

/**
 * Reads the TOML [file] through [read] and returns either what it made or every fault of the file, by line.
 *
 * A key that [read] did not ask for is a fault. When the syntax is at fault, missing keys are not reported, because
 * the parser may have skipped them.
 */
public fun <T : Any> readSettings(
    file: Path,
    read: SettingsReader.() -> T,
): Result<T, List<Fault>> {
    val reading = readToml(file, read)
    val value = reading.value
    return if (value == null || reading.faults.isNotEmpty()) Err(reading.faults) else Ok(value)
}
