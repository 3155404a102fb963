/*
 * Memory that the bodies of callers' requests may take together. A large body waits unread until its whole size fits,
 * in order of arrival, so that uploads neither exhaust the host's memory nor wait for each other halfway. Small bodies
 * don't wait: a connection may hold one of them in any case.
 */
package io.carawaytrack.gateway

import io.netty.channel.Channel
import io.netty.util.internal.PlatformDependent

/** Size up to which a body needs no reservation: one read from a socket. */
internal const val SMALL_BODY_BYTES = 64 * 1024

/** Part of the direct memory for large bodies; reads, responses and links take the rest. */
private const val BODY_MEMORY_RATIO = 0.5

/** Returns the default limit: a fixed part of the direct memory that this process may allocate. */
internal fun defaultBodyMemoryBytes(): Long = (PlatformDependent.maxDirectMemory() * BODY_MEMORY_RATIO).toLong()

/** Reserves memory of at most [maxBytes]; must only be used on the event loop. */
internal class BodyMemory(
    private val maxBytes: Long,
) {
    /** Memory for one body of [bytes]; [granted] is called if it becomes free later. */
    inner class Reservation(
        private val bytes: Long,
        private val granted: () -> Unit,
    ) {
        var isGranted = false
            private set

        internal fun tryGrant(): Boolean {
            // A body that is larger than the limit is read alone.
            if (reservedBytes > 0 && reservedBytes + bytes > maxBytes) return false
            reservedBytes += bytes
            isGranted = true
            return true
        }

        /** Frees the memory, or gives up waiting for it. */
        fun release() {
            waiting -= this
            if (isGranted) reservedBytes -= bytes
            isGranted = false
            grantWaiting()
        }

        internal fun notifyGranted() = granted()
    }

    private val waiting = LinkedHashSet<Reservation>()

    var reservedBytes = 0L
        private set

    /** Reserves [bytes], at once if they are free and nothing waits, and otherwise in order of arrival. */
    fun reserve(
        bytes: Long,
        granted: () -> Unit,
    ): Reservation {
        val reservation = Reservation(bytes, granted)
        if (waiting.isNotEmpty() || !reservation.tryGrant()) waiting += reservation
        return reservation
    }

    private fun grantWaiting() {
        while (true) {
            val next = waiting.firstOrNull()?.takeIf { it.tryGrant() } ?: return
            waiting -= next
            next.notifyGranted()
        }
    }
}

/** Memory for the body that [channel] receives; pauses reading while it is awaited, and calls [resume] after that. */
internal class BodyReservation(
    private val memory: BodyMemory,
    private val channel: Channel,
    private val resume: () -> Unit,
) {
    private var reservation: BodyMemory.Reservation? = null

    val isAwaited: Boolean get() = reservation?.isGranted == false

    /** Reserves memory for a body of [bytes], unless some is reserved already. */
    fun reserve(bytes: Long) {
        if (reservation != null) return
        // Resumed by a task of its own, as one release may grant memory to many connections.
        reservation = memory.reserve(bytes) { channel.eventLoop().execute(::resumeReading) }
        channel.config().isAutoRead = !isAwaited
    }

    private fun resumeReading() {
        channel.config().isAutoRead = true
        resume()
    }

    fun release() {
        val released = reservation ?: return
        reservation = null
        released.release()
    }
}
