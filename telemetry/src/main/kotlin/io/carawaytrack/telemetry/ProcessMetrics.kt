/*
 * Metrics of the process and its Java virtual machine, read at each scrape. Their names follow the convention of the
 * Prometheus client libraries.
 */
package io.carawaytrack.telemetry

import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.IOException
import java.lang.management.BufferPoolMXBean
import java.lang.management.ManagementFactory
import java.lang.management.MemoryUsage
import java.nio.file.Files
import java.nio.file.Path

internal fun registerProcessMetrics(registry: PrometheusRegistry) {
    registerProcess(registry)
    registerMemory(registry)
    registerThreads(registry)
    registerGarbageCollectors(registry)
}

private const val MILLIS_PER_SECOND = 1e3
private const val BYTES_PER_KIBIBYTE = 1_024L
private val processStatusFile = Path.of("/proc/self/status")

private fun registerProcess(registry: PrometheusRegistry) {
    val runtime = ManagementFactory.getRuntimeMXBean()
    MetricCatalog.startSeconds.gauge(registry).set(runtime.startTime / MILLIS_PER_SECOND)
    MetricCatalog.residentBytes.callbackGauge(registry) { call(residentBytes().toDouble()) }
    MetricCatalog.cpuSeconds.callbackCounter(registry) { call(cpuNanos().nanosToSeconds()) }
}

private fun cpuNanos(): Long {
    val system = ManagementFactory.getOperatingSystemMXBean()
    return (system as? com.sun.management.OperatingSystemMXBean)?.processCpuTime?.coerceAtLeast(0) ?: 0
}

/** Returns the resident memory as reported by the kernel, or 0 where the kernel does not report it. */
private fun residentBytes(): Long = try {
    Files.readAllLines(processStatusFile).firstNotNullOfOrNull(::residentKibibytes)?.times(BYTES_PER_KIBIBYTE) ?: 0
} catch (_: IOException) {
    0
}

private fun residentKibibytes(line: String): Long? {
    if (!line.startsWith("VmRSS:")) return null
    return line.filter(Char::isDigit).toLongOrNull()
}

private fun registerMemory(registry: PrometheusRegistry) {
    MetricCatalog.memoryUsed.callbackGauge(registry) {
        memoryUsageByArea().forEach { (area, usage) ->
            call(usage.used.toDouble(), area)
        }
    }
    MetricCatalog.memoryCommitted.callbackGauge(registry) {
        memoryUsageByArea().forEach { (area, usage) -> call(usage.committed.toDouble(), area) }
    }
    MetricCatalog.memoryMax.callbackGauge(registry) {
        memoryUsageByArea().forEach { (area, usage) ->
            call(usage.max.toDouble(), area)
        }
    }
    val pools = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean::class.java)
    MetricCatalog.bufferBytes.callbackGauge(registry) { pools.forEach { call(it.memoryUsed.toDouble(), it.name) } }
}

private fun memoryUsageByArea(): Map<String, MemoryUsage> {
    val memory = ManagementFactory.getMemoryMXBean()
    return mapOf("heap" to memory.heapMemoryUsage, "nonheap" to memory.nonHeapMemoryUsage)
}

private fun registerThreads(registry: PrometheusRegistry) {
    val threads = ManagementFactory.getThreadMXBean()
    MetricCatalog.threads.callbackGauge(registry) { call(threads.threadCount.toDouble()) }
    MetricCatalog.threadsDaemon.callbackGauge(registry) { call(threads.daemonThreadCount.toDouble()) }
}

private fun registerGarbageCollectors(registry: PrometheusRegistry) {
    val collectors = ManagementFactory.getGarbageCollectorMXBeans()
    MetricCatalog.gcSeconds.callbackCounter(registry) {
        collectors.forEach { call(it.collectionTime / MILLIS_PER_SECOND, it.name) }
    }
    MetricCatalog.gcCollections.callbackCounter(registry) {
        collectors.forEach { call(it.collectionCount.toDouble(), it.name) }
    }
}
