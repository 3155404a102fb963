/*
 * Validated settings of a process. The caller reads each key by name, type and allowed range; all faults of the file
 * are collected, so that an operator can fix them in one pass.
 */
package io.carawaytrack.tables

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.HostPort
import kotlinx.serialization.Serializable
import java.nio.file.Path

/**
 * Describes one invalid or missing value in a TOML file.
 *
 * @property line line in the file, counted from 1; 0 if the fault has no position, such as a missing key
 * @property value text of the value, null if the key is missing
 * @property expected description of the allowed values
 */
@Serializable
public data class Fault(
    val file: String,
    val line: Int,
    val key: String,
    val value: String?,
    val expected: String,
) {
    /** Returns `file:line: key = value: expected ...`. */
    override fun toString(): String = "$file:$line: $key = ${value ?: "(missing)"}: expected $expected"
}

/**
 * Reads typed values of dotted keys. For an invalid value, a placeholder is returned and a fault is added to the result
 * of the read.
 */
public interface SettingsReader {
    /** Reads a string that is not blank; the key is required if [default] is null. */
    public fun text(
        key: String,
        default: String? = null,
    ): String

    /** Reads a string that may be absent, but not blank. */
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

    /** Reads a boolean. */
    public fun flag(
        key: String,
        default: Boolean? = null,
    ): Boolean

    /** Reads a list of strings. */
    public fun textList(
        key: String,
        default: List<String>? = null,
    ): List<String>

    /** Reads a string that is one of [allowed]. */
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

    /** Reads a table of addresses, such as node name to address; empty if absent. */
    public fun addressTable(key: String): Map<String, HostPort>

    /** Reads a table of strings, such as node name to address; empty if absent. */
    public fun textTable(key: String): Map<String, String>
}

/**
 * Reads the TOML [file] with [read] and returns either its result or all faults of the file, sorted by line.
 *
 * A key that [read] does not read is a fault. If the file has syntax errors, missing keys are not reported, because the
 * parser may have skipped them.
 */
public fun <T : Any> readSettings(
    file: Path,
    read: SettingsReader.() -> T,
): Result<T, List<Fault>> {
    val result = readToml(file, read)
    val value = result.value
    return if (value == null || result.faults.isNotEmpty()) Err(result.faults) else Ok(value)
}
