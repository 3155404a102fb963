/*
 * Which prompt parts an upstream is likely to hold still: those that it read for requests of this host a short while
 * ago. Parts that other hosts had read are not known here; requests about one subject meet at its home instead.
 */
package io.carawaytrack.gateway

/** Time after its last use for which a part counts as held, in milliseconds: about the platform's window of reuse. */
private const val RETENTION_MILLIS = 10_000L

/** Parts remembered for one upstream; the longest unused gives way. */
private const val MAX_PARTS = 512

internal class PromptCacheEstimate(
    private val nowMillis: () -> Long,
) {
    private val usedAtMillis =
        object : LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Long>): Boolean = size > MAX_PARTS
        }

    /** Notes that the shared parts of [demand] are read for [model]. */
    fun recordRead(
        demand: PromptDemand,
        model: String,
    ) {
        val now = nowMillis()
        demand.sharedParts.forEach { usedAtMillis[it.id + '/' + model] = now }
    }

    /** Returns which shared parts of [demand] are held for [model]. */
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
