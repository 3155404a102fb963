/*
 * Scrapes the metrics that a process reports about itself.
 */
package io.carawaytrack.bench

import io.carawaytrack.model.HostPort
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText

internal data class Scrape(
    val cpuSeconds: Double,
    val residentBytes: Double,
    val heapBytes: Double,
)

internal suspend fun scrape(address: HostPort): Scrape {
    val text = HttpClient(CIO).use { it.get("http://$address/metrics").bodyAsText() }
    return Scrape(
        cpuSeconds = text.sample("process_cpu_seconds_total"),
        residentBytes = text.sample("process_resident_memory_bytes"),
        heapBytes = text.sample("jvm_memory_used_bytes{area=\"heap\"}"),
    )
}

private fun String.sample(name: String): Double {
    val line = lineSequence().firstOrNull { it.startsWith("$name ") }
    return checkNotNull(line) { "expected a sample of the metric $name, found none" }.substringAfterLast(' ').toDouble()
}
