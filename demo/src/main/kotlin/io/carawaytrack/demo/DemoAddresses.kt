/*
 * Where the processes of the demo listen.
 */
package io.carawaytrack.demo

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

@Serializable
internal data class DemoAddresses(
    val callers: List<String>,
    val administration: List<String>,
    val upstreams: Map<String, String>,
    val observability: Map<String, String>,
) {
    class Builder {
        val callers = mutableListOf<String>()
        val administration = mutableListOf<String>()
        val upstreams = LinkedHashMap<String, String>()
        val observability = LinkedHashMap<String, String>()

        fun toJson(): String = Json.encodeToString(DemoAddresses(callers, administration, upstreams, observability))
    }

    companion object {
        fun read(folder: Path): DemoAddresses = Json.decodeFromString(Files.readString(folder.resolve(ADDRESSES_FILE)))
    }
}
