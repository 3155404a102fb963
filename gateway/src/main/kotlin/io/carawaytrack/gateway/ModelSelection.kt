/*
 * Selection of models for the exchanges of one host: supplies the model policy with the outlook of time-critical pools
 * and with what larger models said of requests whose first answers were replaced.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.CatalogPool
import io.carawaytrack.model.PoolName
import io.carawaytrack.routing.load.PoolOutlook

/** A model that is to replace an answer of [replacedConfidence], and the log fields that state why. */
internal class ModelReplacement(
    val index: Int,
    val replacedConfidence: Int,
    val fields: Map<String, Any?>,
)

/** [answerKept] is called with the pool and the model of each answer that is kept only because of the load. */
internal class ModelSelection(
    private val outlookOf: (PoolName) -> PoolOutlook?,
    private val answerKept: (PoolName, String) -> Unit,
    private val nowMillis: () -> Long,
) {
    private val policy = ModelPolicy(nowMillis)

    /** Returns the index of the model that [exchange] is to try first in [pool]. */
    fun firstModel(
        exchange: Exchange,
        pool: CatalogPool,
    ): Int {
        val route = exchange.request.route
        if (!exchange.request.gatewayChoosesModel) return 0
        val load = loadOf(exchange)
        return if (route.answersReplaceable) policy.firstModel(route, pool, load) else policy.onlyModel(route, load)
    }

    private fun loadOf(exchange: Exchange): ModelLoad? {
        val pool = exchange.pool?.name ?: return null
        val outlook = outlookOf(pool) ?: return null
        val route = exchange.request.route
        // Engines admit more urgent prompts first, so a read delays those of its own route and less urgent ones.
        return ModelLoad(outlook, route.latencyTargetMillis, route.priority, exchange::promptWork)
    }

    private fun isTimeCritical(exchange: Exchange) = exchange.pool?.let { outlookOf(it.name) } != null

    /** Records that an attempt of [exchange] was sent. */
    fun attemptSent(exchange: Exchange) {
        val request = exchange.request
        val work = exchange.watch.work?.work ?: return
        if (!usesLargestModel(exchange) || request.demand.promptTokens <= 0) return
        policy.recordUnread(request.route, minOf(1.0, work.unreadTokens.toDouble() / request.demand.promptTokens))
    }

    /** Records the model's [confidence] in the answer to [exchange] that has started. */
    fun answerStarted(
        exchange: Exchange,
        confidence: Int?,
    ) {
        val request = exchange.request
        if (confidence == null || !request.gatewayChoosesModel) return
        policy.recordConfidence(
            request.route,
            exchange.modelIndex,
            request.demand,
            confidence,
            isTimeCritical(exchange),
        )
        exchange.progress.replacedConfidence?.let { policy.recordReplacement(request.route, it, confidence) }
        exchange.progress.replacedConfidence = null
        recordWait(exchange)
    }

    /** Records how long the current attempt has taken so far if it uses the route's largest model. */
    fun recordWait(exchange: Exchange) {
        if (!usesLargestModel(exchange)) return
        policy.recordWait(exchange.request.route, nowMillis() - exchange.sentAtMillis)
    }

    private fun usesLargestModel(exchange: Exchange) =
        exchange.request.gatewayChoosesModel && exchange.modelIndex == exchange.request.route.models.lastIndex

    /** Records that the answer to [exchange] had [outputTokens]. */
    fun recordOutputLength(
        exchange: Exchange,
        outputTokens: Int,
    ) = policy.recordOutputLength(exchange.request.route, outputTokens)

    /** Returns the model that is to replace the answer of this [confidence] to [exchange], or null to keep it. */
    fun replacement(
        exchange: Exchange,
        confidence: Int?,
    ): ModelReplacement? {
        val request = exchange.request
        if (confidence == null || !request.gatewayChoosesModel) return null
        val route = request.route
        val index = exchange.modelIndex
        val remainingMillis = exchange.onTimeUntilMillis - nowMillis()
        val load = loadOf(exchange)
        val unloaded =
            policy.escalationTarget(route, index, request.demand, confidence, remainingMillis, load != null)
                ?: return null
        val chosen = if (load == null) unloaded else policy.underLoad(route, index, confidence, remainingMillis, load)
        if (chosen == null) {
            exchange.pool?.let { answerKept(it.name, route.models[index]) }
            return null
        }
        val fields = mapOf("confidence" to confidence, "toModelIndex" to chosen, "onTimeLeftMillis" to remainingMillis)
        return ModelReplacement(chosen, confidence, fields + loadFields(load, chosen))
    }

    private fun loadFields(
        load: ModelLoad?,
        index: Int,
    ): Map<String, Any?> {
        if (load == null) return emptyMap()
        val work = load.workOf(index)
        return mapOf(
            "busyRatio" to load.outlook.busyRatio,
            "readMillis" to load.outlook.readMillis(work)?.toLong(),
            "expectedMillis" to load.outlook.firstEventMillis(work)?.toLong(),
        )
    }
}
