/*
 * Traces as JSON lines: a header that says where the trace comes from, then one request a line in the order of arrival.
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

/** Names the format in the header of every trace. */
public const val TRACE_FORMAT: String = "carawaytrack-trace/1"

/** Tells whether a trace was recorded from processes or made from a seed. */
@Serializable
public enum class TraceOrigin { Recorded, Seed }

/**
 * Opens a trace.
 *
 * @property seed seed that the requests were made from; null for a recorded trace
 * @property warmUpMillis moment until which outcomes are left out of the measures
 * @property endMillis moment after which no request arrives
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
 * Describes one request.
 *
 * @property difficulty from 0, which every version answers well, to 1
 * @property session name of the session, null for a request on its own
 * @property readMillis time that the caller takes to read the answer
 * @property flood whether the request is part of a flood, which a reference run leaves out
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

/** Holds a whole trace. */
public data class Trace(
    val header: TraceHeader,
    val requests: List<TraceRequest>,
)

/** Says which line of a trace could not be read. */
public data class TraceReadError(
    val line: Int,
    val detail: String,
)

/** Reads the trace at [path]; fails with the first line that is no header or request. */
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
    } catch (fault: SerializationException) {
        Err(TraceReadError(line, fault.message.orEmpty()))
    }
}

/** Writes [trace] to [path], one line for the header and one for each request. */
public fun writeTrace(
    trace: Trace,
    path: Path,
) {
    path.writeLines(listOf(Json.encodeToString(trace.header)) + trace.requests.map { Json.encodeToString(it) })
}
