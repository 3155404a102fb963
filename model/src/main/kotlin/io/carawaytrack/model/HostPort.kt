/*
 * Socket addresses as settings write them.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable

/** Names a TCP endpoint by IP number and port. */
@Serializable
public data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val HIGHEST_PORT = 65_535

        /** Reads `127.0.0.1:7000`; returns null when the text has no host or no port from 0 to 65535. */
        public fun parse(text: String): HostPort? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (host.isBlank() || port !in 0..HIGHEST_PORT) return null
            return HostPort(host, port)
        }
    }
}
