/*
 * Decoding of content that may have been written by another version of the program.
 */
package io.carawaytrack.consensus

/** Returns the result of [decode], or null if it throws one of the exceptions that CBOR decoding fails with. */
public inline fun <T : Any> decodeOrNull(decode: () -> T): T? = try {
    decode()
} catch (_: IllegalArgumentException) {
    null
} catch (_: IllegalStateException) {
    null
} catch (_: IndexOutOfBoundsException) {
    null
}
