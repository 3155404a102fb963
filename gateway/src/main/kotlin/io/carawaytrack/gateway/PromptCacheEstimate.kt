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
        demand.sharedParts.forEach { usedAtMillis[keyOf(it, model)] = now }
    }

    /** Returns the shared parts of [demand] that are presumably cached for [model]. */
    fun cachedPartsOf(
        demand: PromptDemand,
        model: String,
    ): Set<String> {
        val oldestMillis = nowMillis() - RETENTION_MILLIS
        return demand.sharedParts
            .filter { (usedAtMillis[keyOf(it, model)] ?: Long.MIN_VALUE) > oldestMillis }
            .mapTo(HashSet()) { it.id }
    }

    /** Returns the tokens of the [parts] that are presumably cached; [keys] are those of [keyOf] in the same order. */
    fun cachedTokens(
        parts: List<PromptPart>,
        keys: List<String>,
    ): Int {
        val oldestMillis = nowMillis() - RETENTION_MILLIS
        var tokens = 0
        for (index in parts.indices) {
            if ((usedAtMillis[keys[index]] ?: Long.MIN_VALUE) > oldestMillis) tokens += parts[index].tokens
        }
        return tokens
    }

    companion object {
        private const val INITIAL_CAPACITY = 64
        private const val LOAD_FACTOR = 0.75f

        /** Returns the key under which [part] is tracked for [model]. */
        fun keyOf(
            part: PromptPart,
            model: String,
        ): String = part.id + '/' + model
    }
}
