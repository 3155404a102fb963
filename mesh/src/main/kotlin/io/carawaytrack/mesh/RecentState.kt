/*
 * What this host knew last, kept beside the log so that it can serve again at once after a restart, before the core has
 * elected a leader. It was committed and announced when it was written; what has changed since arrives from the peers.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package io.carawaytrack.mesh

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.FleetView
import io.carawaytrack.fleet.KnownUpstream
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.storage.replaceFile
import io.carawaytrack.storage.verifiedContent
import io.carawaytrack.storage.withChecksum
import io.carawaytrack.telemetry.event
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private val logger = KotlinLogging.logger {}

private const val RECENT_FILE = "recent"

/** Time for which an upstream that was known before a restart counts as cold, in milliseconds: a usual cold start. */
private const val DOUBTED_MILLIS = 3_000L

/** Time since such an upstream was heard, as far as its age is shown, in milliseconds: about a restart's duration. */
internal const val RECENT_AGE_MILLIS: Long = 2_000

@Serializable
internal class Recent(
    val view: FleetView,
    val upstreams: List<FleetUpstream>,
)

private val recentCbor = Cbor { ignoreUnknownKeys = true }

/** Has what is known written whenever it has changed. */
internal class RecentKeeper {
    private var keptIndex = 0L
    private var kept: Map<UpstreamId, Long> = emptyMap()

    fun keep(
        member: CoreMember,
        view: FleetView,
        upstreams: Collection<KnownUpstream>,
    ) {
        val starts = upstreams.associate { it.upstream.id to it.upstream.startedAtMillis }
        if (view.index == 0L || (view.index == keptIndex && starts == kept)) return
        keptIndex = view.index
        kept = starts
        member.save(Recent(view, upstreams.map { it.upstream }))
    }
}

/** Writes [recent] to [folder]; a failure costs only the quick start, so it is logged and nothing else. */
internal fun saveRecent(
    folder: Path,
    recent: Recent,
) {
    try {
        replaceFile(folder, RECENT_FILE, withChecksum(recentCbor.encodeToByteArray(recent)))
    } catch (failure: IOException) {
        logger.event("recent_state_not_saved", mapOf("reason" to failure.toString()), Level.WARN)
    }
}

/** Returns what [saveRecent] wrote, each upstream as one that may be cold, or null when there is nothing whole. */
internal fun readRecent(folder: Path): Recent? = try {
    decode(Files.readAllBytes(folder.resolve(RECENT_FILE)))
} catch (missing: IOException) {
    logger.debug { "no recent state: $missing" }
    null
}

private fun decode(bytes: ByteArray): Recent? {
    val content = verifiedContent(bytes) ?: return null
    return try {
        val recent = recentCbor.decodeFromByteArray<Recent>(ByteArray(content.remaining()).also(content::get))
        Recent(recent.view, recent.upstreams.map { it.copy(coldMillis = maxOf(it.coldMillis, DOUBTED_MILLIS)) })
    } catch (otherVersion: IllegalArgumentException) {
        logger.event("recent_state_unreadable", mapOf("reason" to otherVersion.toString()), Level.WARN)
        null
    }
}
