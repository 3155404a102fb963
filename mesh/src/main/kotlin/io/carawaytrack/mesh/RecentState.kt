/*
 * The last known state, saved next to the log so that a restarted host can serve at once, before the core has elected a
 * leader. The state was committed and announced when it was saved; later changes are received from the peers.
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

private const val RECENT_STATE_FILE = "recent"

/** Time for which a restored upstream counts as cold: a usual cold start, since the upstream may be cold. */
private const val RESTORED_COLD_MILLIS = 3_000L

/** Assumed age of a restored upstream's announcement: about the duration of a restart. */
internal const val RESTORED_AGE_MILLIS: Long = 2_000

@Serializable
internal class RecentState(
    val view: FleetView,
    val upstreams: List<FleetUpstream>,
)

private val recentCbor = Cbor { ignoreUnknownKeys = true }

/** Saves the known state whenever it has changed. */
internal class RecentStateSaver {
    private var savedIndex = 0L
    private var savedStarts: Map<UpstreamId, Long> = emptyMap()

    fun saveIfChanged(
        member: CoreMember,
        view: FleetView,
        upstreams: Collection<KnownUpstream>,
    ) {
        val starts = upstreams.associate { it.upstream.id to it.upstream.startedAtMillis }
        if (view.index == 0L || (view.index == savedIndex && starts == savedStarts)) return
        savedIndex = view.index
        savedStarts = starts
        member.save(RecentState(view, upstreams.map { it.upstream }))
    }
}

/** Writes [recent] to [folder]; a failure only slows down the next start, so it is logged and otherwise ignored. */
internal fun saveRecentState(
    folder: Path,
    recent: RecentState,
) {
    try {
        replaceFile(folder, RECENT_STATE_FILE, withChecksum(recentCbor.encodeToByteArray(recent)))
    } catch (failure: IOException) {
        logger.event("recent_state_not_saved", mapOf("reason" to failure.toString()), Level.WARN)
    }
}

/** Returns the state that [saveRecentState] wrote, with all upstreams cold, or null if it is missing or corrupt. */
internal fun readRecentState(folder: Path): RecentState? = try {
    decode(Files.readAllBytes(folder.resolve(RECENT_STATE_FILE)))
} catch (missing: IOException) {
    logger.debug { "recent state could not be read: $missing" }
    null
}

private fun decode(bytes: ByteArray): RecentState? {
    val content = verifiedContent(bytes) ?: return null
    return try {
        val recent = recentCbor.decodeFromByteArray<RecentState>(ByteArray(content.remaining()).also(content::get))
        RecentState(
            recent.view,
            recent.upstreams.map { it.copy(coldMillis = maxOf(it.coldMillis, RESTORED_COLD_MILLIS)) },
        )
    } catch (otherVersion: IllegalArgumentException) {
        logger.event("recent_state_unreadable", mapOf("reason" to otherVersion.toString()), Level.WARN)
        null
    }
}
