/*
 * Graceful shutdown. The first SIGTERM or SIGINT begins the shutdown; the process exits once its work is complete.
 */
package io.carawaytrack.process

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import sun.misc.Signal

private val stopSignals = listOf("TERM", "INT")

/**
 * Runs [serve] until it returns. The function passed to [serve] suspends until the process receives SIGTERM or SIGINT.
 *
 * The signal handlers replace those of the JVM, which run all shutdown hooks concurrently: the hook of an HTTP server
 * would cut off answers that are still being sent.
 */
public fun runUntilStopped(serve: suspend (awaitStop: suspend () -> Unit) -> Unit) {
    val stop = CompletableDeferred<Unit>()
    stopSignals.forEach { name -> Signal.handle(Signal(name)) { stop.complete(Unit) } }
    runBlocking { serve { stop.await() } }
}

/** Returns the time of a monotonic clock, in milliseconds; it advances even while the process is suspended. */
public fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

private const val NANOS_PER_MILLI = 1_000_000L
