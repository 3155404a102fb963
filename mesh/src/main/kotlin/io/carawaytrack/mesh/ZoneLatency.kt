/*
 * Latency between this host's zone and the others, measured by echoes on the links. A small host answers an echo late
 * when it is busy, so the shortest of several round trips counts. Nothing is sent unless the latency is asked for.
 */
package io.carawaytrack.mesh

import io.carawaytrack.model.ZoneName

/** Interval at which echoes are sent: the latency between zones changes rarely. */
private const val ECHO_INTERVAL_MILLIS = 2_000L

/** Number of round trips of a zone of which the shortest counts. */
private const val KEPT_ROUND_TRIPS = 8

/** Time for which a round trip counts: that of the kept ones of several zones, with a margin. */
private const val ROUND_TRIP_EXPIRY_MILLIS = 120_000L

private const val NANOS_PER_MILLI = 1_000_000.0

/** Measures the latency between zones. */
public interface ZoneLatency {
    /** Mean round trip to the other zones; null while it is unknown. */
    public val millis: Double?

    /** Sends an echo when it is due; called at most every few hundred milliseconds while the latency is of interest. */
    public fun measure()
}

/** Measures by echoes to the [peers]; [send] sends a message to one of them. */
internal class EchoedZoneLatency(
    private val zone: ZoneName,
    private val peers: () -> Collection<PeerInfo>,
    private val send: (PeerInfo, MeshMessage) -> Unit,
    private val nanoTime: () -> Long,
) : ZoneLatency {
    private class RoundTrip(
        val millis: Double,
        val atNanos: Long,
    )

    private val roundTrips = HashMap<ZoneName, ArrayDeque<RoundTrip>>()
    private var sequence = 0L
    private var sentAtNanos: Long? = null
    private var nextPeer = 0

    override val millis: Double?
        get() {
            val oldestNanos = nanoTime() - (ROUND_TRIP_EXPIRY_MILLIS * NANOS_PER_MILLI).toLong()
            roundTrips.values.forEach { trips -> trips.removeIf { it.atNanos - oldestNanos < 0 } }
            return roundTrips.values
                .mapNotNull { trips -> trips.minOfOrNull { it.millis } }
                .takeIf { it.isNotEmpty() }
                ?.average()
        }

    override fun measure() {
        val elapsedMillis = sentAtNanos?.let { (nanoTime() - it) / NANOS_PER_MILLI }
        if (elapsedMillis != null && elapsedMillis < ECHO_INTERVAL_MILLIS) return
        val elsewhere = peers().filter { it.zone != zone }
        if (elsewhere.isEmpty()) return
        sentAtNanos = nanoTime()
        send(elsewhere[nextPeer++ % elsewhere.size], MeshMessage.Echo(++sequence))
    }

    fun receive(
        from: PeerInfo,
        echo: MeshMessage.Echo,
    ) {
        if (!echo.reply) return send(from, MeshMessage.Echo(echo.sequence, reply = true))
        val sentAtNanos = sentAtNanos ?: return
        // A reply to an earlier echo took longer than the interval.
        if (echo.sequence != sequence) return
        val trips = roundTrips.getOrPut(from.zone) { ArrayDeque() }
        trips += RoundTrip((nanoTime() - sentAtNanos) / NANOS_PER_MILLI, nanoTime())
        if (trips.size > KEPT_ROUND_TRIPS) trips.removeFirst()
    }
}
