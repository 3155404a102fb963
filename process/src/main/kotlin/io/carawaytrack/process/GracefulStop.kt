/*
 * The end of a process. The first SIGTERM or SIGINT begins a graceful shutdown; the process exits when its work is
 * done.
 */
package io.carawaytrack.process

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import sun.misc.Signal

private val stopSignals = listOf("TERM", "INT")

/**
 * Runs [serve] until it returns; it is handed a function that waits for the signal to stop.
 *
 * The signals are taken before the Java machine acts on them: its shutdown hooks run side by side, and that of an HTTP
 * server would cut the answers that are still being sent.
 */
public fun runUntilStopped(serve: suspend (awaitStop: suspend () -> Unit) -> Unit) {
    val stop = CompletableDeferred<Unit>()
    stopSignals.forEach { name -> Signal.handle(Signal(name)) { stop.complete(Unit) } }
    runBlocking { serve { stop.await() } }
}

/** Returns milliseconds on a clock that never goes back and keeps running while the process is frozen. */
public fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

private const val NANOS_PER_MILLI = 1_000_000L
