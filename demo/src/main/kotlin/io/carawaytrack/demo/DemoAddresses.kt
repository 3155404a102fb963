/*
 * Addresses on which the processes of the demo listen.
 */
package io.carawaytrack.demo

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

/**
 * Holds the addresses of a deployment, each as `host:port`.
 *
 * @property callers addresses of the entries for callers, in order
 * @property administration addresses of the control hosts for operators, in order
 * @property controlLinks addresses of the control hosts for the other processes, in the same order
 * @property upstreams addresses of the stand-ins, by upstream
 * @property observability addresses of health checks and metrics, by node
 */
@Serializable
public data class DemoAddresses(
    val callers: List<String>,
    val administration: List<String>,
    val controlLinks: List<String>,
    val upstreams: Map<String, String>,
    val observability: Map<String, String>,
) {
    internal class Builder {
        val callers = mutableListOf<String>()
        val administration = mutableListOf<String>()
        val controlLinks = mutableListOf<String>()
        val upstreams = LinkedHashMap<String, String>()
        val observability = LinkedHashMap<String, String>()

        fun toJson(): String =
            Json.encodeToString(DemoAddresses(callers, administration, controlLinks, upstreams, observability))
    }

    internal companion object {
        fun read(folder: Path): DemoAddresses = Json.decodeFromString(Files.readString(folder.resolve(ADDRESSES_FILE)))
    }
}
