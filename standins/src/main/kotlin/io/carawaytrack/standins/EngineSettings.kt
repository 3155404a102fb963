/*
 * Behaviour of an engine stand-in: settings that are fixed at its start, and faults that can be replaced at run time.
 */
package io.carawaytrack.standins

import io.carawaytrack.model.ModelVersion
import kotlinx.serialization.Serializable

/**
 * Settings of an engine stand-in.
 *
 * @property versions models and versions loaded at the start; a request for a model alone runs on its first version
 * @property quality mean rating, 0 to 1, of the answers
 * @property qualities mean ratings that differ from [quality], by `model@version`
 * @property qualitySpread width of the band in which the quality varies by prompt
 * @property answerTokens length of an answer without a token limit
 * @property maxRunning batch slots: requests that run at once; further ones wait
 * @property memoryTokens value of [LoadReport.queuedTokens] above which the engine crashes; 0 for no limit
 * @property coldStartMillis time from a start until the engine has its full capacity
 * @property coldCapacity requests that the engine can take at the beginning of a cold start
 * @property coldSlowdown factor on prefill and token times at the beginning of a cold start
 * @property restartMillis downtime after a crash
 * @property cacheBlocks capacity of the prefix cache, in blocks of [PREFIX_BLOCK_CHARS] characters
 * @property loadLagMillis age of the load that `GET /load` reports
 * @property eventLagMillis age from which a cache event is reported
 * @property eventLossRatio fraction of cache events, 0 to 1, that are never reported
 * @property loadModelMillis time that an order to load a model takes
 * @property enforcesFencing whether an order with a lower fencing token than an earlier one is refused
 * @property resumableAnswers number of most recent answers that are retained for resumption
 */
public data class EngineSettings(
    val port: Int = 0,
    val versions: List<ModelVersion> = listOf(ModelVersion("quill", "1")),
    val quality: Double = 0.8,
    val qualities: Map<String, Double> = emptyMap(),
    val qualitySpread: Double = 0.1,
    val prefillMillisPerKilotoken: Double = 40.0,
    val tokenMillis: Double = 5.0,
    val answerTokens: Int = 32,
    val maxRunning: Int = 16,
    val memoryTokens: Long = 0,
    val coldStartMillis: Long = 0,
    val coldCapacity: Int = 2,
    val coldSlowdown: Double = 4.0,
    val restartMillis: Long = 500,
    val cacheBlocks: Int = 4_096,
    val loadLagMillis: Long = 0,
    val eventLagMillis: Long = 0,
    val eventLossRatio: Double = 0.0,
    val loadModelMillis: Long = 0,
    val enforcesFencing: Boolean = true,
    val resumableAnswers: Int = 256,
    val seed: Long = 1,
    val faults: EngineFaults = EngineFaults(),
)

/**
 * Faults that an engine stand-in injects; `POST /faults` replaces all of them.
 *
 * @property versions versions, as `model@version`, whose answers are affected; empty for all
 * @property down answers requests with status 503
 * @property restartCold restarts into a cold start immediately, with no downtime and no notice
 * @property crashText a request whose body contains this text ends the process
 * @property tokenSlowdown factor on the time of each token
 * @property stallAfterTokens number of tokens after which an answer stalls until the fault is cleared
 * @property breakAfterTokens number of tokens after which the connection is closed
 * @property errorRatio fraction of requests, 0 to 1, that fail with status 500
 * @property quality mean rating, 0 to 1, that overrides the setting
 * @property loadLagMillis lag of the load report that overrides the setting
 */
@Serializable
public data class EngineFaults(
    val versions: List<String> = emptyList(),
    val down: Boolean = false,
    val restartCold: Boolean = false,
    val crashText: String? = null,
    val tokenSlowdown: Double = 1.0,
    val stallAfterTokens: Int? = null,
    val breakAfterTokens: Int? = null,
    val errorRatio: Double = 0.0,
    val quality: Double? = null,
    val loadLagMillis: Long? = null,
) {
    internal fun affects(version: ModelVersion): Boolean = versions.isEmpty() || version.toString() in versions

    internal fun stallsAt(
        version: ModelVersion,
        token: Int,
    ): Boolean = stallAfterTokens != null && token >= stallAfterTokens && affects(version)

    internal fun breaksAt(
        version: ModelVersion,
        token: Int,
    ): Boolean = breakAfterTokens != null && token >= breakAfterTokens && affects(version)
}
