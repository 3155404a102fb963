/*
 * How an engine stand-in behaves: settings that hold for its life, and faults that are switched while it runs.
 */
package io.carawaytrack.standins

import io.carawaytrack.model.ModelVersion
import kotlinx.serialization.Serializable

/**
 * Sets up an engine stand-in.
 *
 * @property versions models and versions loaded at the start; a request for a model alone runs on its first one
 * @property quality mean rating, 0 to 1, of the answers
 * @property qualities mean ratings that differ from [quality], by `model@version`
 * @property qualitySpread width of the band in which the rating varies from prompt to prompt
 * @property answerTokens length of an answer that no limit shortens
 * @property maxRunning requests that run at once; others wait
 * @property memoryTokens tokens of all held requests beyond which the engine falls over; 0 for no bound
 * @property coldStartMillis time from a start until the engine bears its full load
 * @property coldCapacity requests that it bears at the very start
 * @property coldSlowdown factor on its token times at the very start
 * @property restartMillis time that it answers nothing after falling over
 * @property cacheBlocks capacity of the prefix cache, in blocks of [PREFIX_BLOCK_CHARS] characters
 * @property loadLagMillis age of what `GET /load` reports
 * @property eventLagMillis age at which a cache event is first shown
 * @property eventLossRatio share of cache events, 0 to 1, that are never shown
 * @property loadModelMillis time that an order to load takes
 * @property enforcesFencing whether an order with an older fencing number is refused
 * @property resumableAnswers finished or broken answers that can still be resumed
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
 * Lists the faults of an engine stand-in; `POST /faults` replaces all of them.
 *
 * @property versions `model@version` of those whose answers are harmed; empty for all
 * @property down answers 503 to everything
 * @property restartCold falls back into a cold start at once, without a word
 * @property crashText a request whose body contains this text ends the process
 * @property tokenSlowdown factor on the time of each token
 * @property stallAfterTokens answers stop after so many tokens, until the fault is cleared
 * @property breakAfterTokens the connection is closed after so many tokens
 * @property errorRatio share of requests, 0 to 1, that are answered 500
 * @property quality mean rating, 0 to 1, in place of the set one
 * @property loadLagMillis lag of the load report in place of the set one
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
