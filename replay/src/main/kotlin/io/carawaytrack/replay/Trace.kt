/*
 * Traces as JSON lines: a header that describes the origin of the trace, then one request per line in order of arrival.
 * The format is described in docs/TRACES.md.
 */
package io.carawaytrack.replay

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.writeLines

/** Format identifier in the header of every trace. */
public const val TRACE_FORMAT: String = "carawaytrack-trace/1"

/** Whether a trace was recorded from processes or generated from a seed. */
@Serializable
public enum class TraceOrigin { Recorded, Seed }

/**
 * Header of a trace.
 *
 * @property seed seed that the requests were generated from; null for a recorded trace
 * @property warmUpMillis time before which arriving requests are excluded from the measures
 * @property endMillis time after which no request arrives
 */
@Serializable
public data class TraceHeader(
    val format: String = TRACE_FORMAT,
    val origin: TraceOrigin,
    val deployment: Deployment,
    val scenario: Scenario,
    val seed: Long? = null,
    val warmUpMillis: Long,
    val endMillis: Long,
)

/**
 * One request of a trace.
 *
 * @property difficulty from 0, at which every version reaches its best quality, to 1
 * @property session name of the session; null for a request outside a session
 * @property readMillis time that the caller takes to read the answer; 0 for a caller that reads at once
 * @property flood whether the request is part of a flood; the reference run excludes these
 */
@Serializable
public data class TraceRequest(
    val id: Int,
    val atMillis: Long,
    val organisation: String,
    val route: String,
    val promptTokens: Long,
    val answerTokens: Long,
    val difficulty: Double = 0.0,
    val session: String? = null,
    val readMillis: Long = 0,
    val flood: Boolean = false,
) {
    /** Prompt and answer tokens together. */
    public val tokens: Long get() = promptTokens + answerTokens
}

/** A complete trace. */
public data class Trace(
    val header: TraceHeader,
    val requests: List<TraceRequest>,
)

/** Reports the line of a trace that could not be read. */
public data class TraceReadError(
    val line: Int,
    val detail: String,
)

/** Reads the trace at [path]; fails with the first line that is not a valid header or request. */
public fun readTrace(path: Path): Result<Trace, TraceReadError> {
    val lines = path.readLines().filter(String::isNotBlank)
    var line = 1
    return try {
        val header = Json.decodeFromString<TraceHeader>(lines.firstOrNull().orEmpty())
        val requests =
            lines.drop(1).map {
                line++
                Json.decodeFromString<TraceRequest>(it)
            }
        if (header.format == TRACE_FORMAT) {
            Ok(Trace(header, requests))
        } else {
            Err(TraceReadError(1, "expected format $TRACE_FORMAT, got ${header.format}"))
        }
    } catch (exception: SerializationException) {
        Err(TraceReadError(line, exception.message.orEmpty()))
    }
}

/** Writes [trace] to [path] as one line for the header and one line per request. */
public fun writeTrace(
    trace: Trace,
    path: Path,
) {
    path.writeLines(listOf(Json.encodeToString(trace.header)) + trace.requests.map { Json.encodeToString(it) })
}
