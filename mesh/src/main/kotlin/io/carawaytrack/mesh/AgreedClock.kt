/*
 * Wall-clock time on which the hosts of a fleet agree although some of their clocks are wrong: the median of the clocks
 * of this host and its peers. Heartbeats carry the clocks; in between, the steady clock counts on. A host without a
 * disk is linked to a few hosts only, whose clocks may be wrong in the majority. It takes the median of what hosts with
 * a disk, which are linked to all hosts, have found to be the median.
 */
package io.carawaytrack.mesh

import io.carawaytrack.model.HostPort
import kotlin.math.abs

/** Time without a heartbeat after which a peer's clock no longer counts: the steady clock drifts little in it. */
private const val SAMPLE_EXPIRY_MILLIS = 60_000L

/** Time between two observations from which on this host was stopped: several ticks. */
private const val STOPPED_MILLIS = 1_000L

/** Change of the wall clock against the steady clock that is a step, or a stop of this host with its steady clock. */
private const val STEP_MILLIS = 250L

/** Time after a stop in which heartbeats are ignored, as they may have been sent long before they are read. */
private const val DRAIN_MILLIS = 300L

/** Time after a stop or a step after which more than half of the peers suffice: each linked one has been heard. */
private const val HOLD_MILLIS = 1_000L

/** Time after a stop or a step after which a single peer suffices. */
private const val MAX_HOLD_MILLIS = 3_000L

/**
 * Clocks that a heartbeat carries.
 *
 * @property agreedMillis median that the host has found; null on a host without a disk, or while it has found none
 */
internal data class ClockReading(
    val wallMillis: Long,
    val agreedMillis: Long?,
)

/** Clock of this host, which is linked to all hosts if it is a [core] host. */
internal class AgreedClock(
    private val core: Boolean,
    private val nowMillis: () -> Long,
    private val wallMillis: () -> Long,
) {
    /** Clocks of a peer as offsets from this host's steady clock. */
    private class Sample(
        val wallOffset: Long,
        val agreedOffset: Long?,
        val atMillis: Long,
    )

    private val samples = HashMap<HostPort, Sample>()
    private var observedAtMillis = nowMillis()
    private var ownOffset = wallMillis() - observedAtMillis

    /** Time of the last stop or step, until enough peers have been heard since. */
    private var heldSinceMillis: Long? = null
    private var offset = ownOffset

    /** Returns the agreed time, which may go back by the differences between correct clocks. */
    fun agreedNowMillis(): Long = nowMillis() + offset

    /** Returns the clocks to send to the peers. */
    fun reading(): ClockReading {
        update()
        val agreed = core && heldSinceMillis == null && samples.isNotEmpty()
        return ClockReading(wallMillis(), if (agreed) agreedNowMillis() else null)
    }

    /** Records the clocks in a heartbeat of [peer]. */
    fun record(
        peer: HostPort,
        reading: ClockReading,
    ) {
        observe()
        val now = nowMillis()
        val heldSince = heldSinceMillis
        // A core host that has just been stopped or stepped sends no median for a moment. Its last one still holds,
        // unless this host was stopped since; then only a new one tells the time.
        val lastAgreed = if (heldSince == null) samples[peer]?.agreedOffset else null
        val agreedOffset = reading.agreedMillis?.minus(now) ?: lastAgreed
        val lacksMedian = agreedOffset == null && !core && samples.values.any { it.agreedOffset != null }
        if (heldSince != null && (lacksMedian || now - heldSince < DRAIN_MILLIS)) return
        samples[peer] = Sample(reading.wallMillis - now, agreedOffset, now)
    }

    /** Updates the agreed time from the samples; called at each tick. */
    fun update() {
        observe()
        val now = nowMillis()
        samples.values.removeIf { now - it.atMillis > SAMPLE_EXPIRY_MILLIS }
        heldSinceMillis?.let { release(it, now) }
        if (heldSinceMillis == null) offset = median()
    }

    /**
     * Detects that this host was stopped or that its wall clock was stepped. A stop may have made all samples wrong, a
     * step has made none wrong; the agreed time is held until the peers tell which it was.
     */
    private fun observe() {
        val now = nowMillis()
        val newOffset = wallMillis() - now
        val stopped = now - observedAtMillis >= STOPPED_MILLIS
        if (samples.isNotEmpty() && (stopped || abs(newOffset - ownOffset) >= STEP_MILLIS)) heldSinceMillis = now
        observedAtMillis = now
        ownOffset = newOffset
    }

    private fun release(
        sinceMillis: Long,
        now: Long,
    ) {
        val known = relevantSamples()
        val fresh = known.count { it.atMillis >= sinceMillis + DRAIN_MILLIS }
        val heldMillis = now - sinceMillis
        val enough =
            when {
                heldMillis >= MAX_HOLD_MILLIS -> fresh > 0
                heldMillis >= HOLD_MILLIS -> fresh * 2 > known.size
                else -> fresh == known.size
            }
        if (!enough && known.isNotEmpty()) return
        samples.values.removeIf { it.atMillis < sinceMillis + DRAIN_MILLIS }
        heldSinceMillis = null
    }

    /** Returns the samples of the core hosts that have found a median on other hosts; otherwise all of them. */
    private fun relevantSamples(): Collection<Sample> =
        if (core) samples.values else samples.values.filter { it.agreedOffset != null }.ifEmpty { samples.values }

    private fun median(): Long {
        val agreed = if (core) emptyList() else samples.values.mapNotNull { it.agreedOffset }
        return medianOf(agreed.ifEmpty { samples.values.map { it.wallOffset } + ownOffset })
    }
}

private fun medianOf(values: List<Long>): Long {
    val sorted = values.sorted()
    return (sorted[(sorted.size - 1) / 2] + sorted[sorted.size / 2]) / 2
}
