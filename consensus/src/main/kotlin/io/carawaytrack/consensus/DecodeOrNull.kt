/*
 * Content that another version of the program may have written.
 */
package io.carawaytrack.consensus

/** Returns what [decode] reads, or null for content of another form; a CBOR codec throws one of these for it. */
public inline fun <T : Any> decodeOrNull(decode: () -> T): T? = try {
    decode()
} catch (_: IllegalArgumentException) {
    null
} catch (_: IllegalStateException) {
    null
} catch (_: IndexOutOfBoundsException) {
    null
}
