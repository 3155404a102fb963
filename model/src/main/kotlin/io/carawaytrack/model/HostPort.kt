/*
 * Socket addresses in the format used by settings.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable

/** Describes a TCP endpoint by IP address and port. */
@Serializable
public data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535

        /** Parses `127.0.0.1:7000`; returns null if [text] lacks a host or a port from 0 to 65535. */
        public fun parse(text: String): HostPort? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (host.isBlank() || port !in 0..MAX_PORT) return null
            return HostPort(host, port)
        }
    }
}
