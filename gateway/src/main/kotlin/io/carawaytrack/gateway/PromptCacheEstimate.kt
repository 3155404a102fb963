/*
 * Estimate of the prompt parts that an upstream has cached: those that it recently processed for requests from this
 * host. Parts processed for other hosts are unknown here; instead, all hosts send requests with the same shared prefix
 * to the same preferred engine.
 */
package io.carawaytrack.gateway

/** Time after its last use for which a part counts as cached: about the platform's reuse window. */
private const val RETENTION_MILLIS = 10_000L

/** Maximum number of parts tracked for each upstream; the least recently used part is evicted. */
private const val MAX_PARTS = 512

internal class PromptCacheEstimate(
    private val nowMillis: () -> Long,
) {
    private val usedAtMillis =
        object : LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Long>): Boolean = size > MAX_PARTS
        }

    /** Records that the shared parts of [demand] are processed for [model]. */
    fun recordRead(
        demand: PromptDemand,
        model: String,
    ) {
        val now = nowMillis()
        demand.sharedParts.forEach { usedAtMillis[it.id + '/' + model] = now }
    }

    /** Returns the shared parts of [demand] that are presumably cached for [model]. */
    fun cachedPartsOf(
        demand: PromptDemand,
        model: String,
    ): Set<String> {
        val oldestMillis = nowMillis() - RETENTION_MILLIS
        return demand.sharedParts
            .filter { (usedAtMillis[it.id + '/' + model] ?: Long.MIN_VALUE) > oldestMillis }
            .mapTo(HashSet()) { it.id }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
