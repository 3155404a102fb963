/*
 * The end of a process. The first SIGTERM or SIGINT begins a graceful shutdown; the process exits when its work is
 * done.
 */
package io.carawaytrack.process

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CountDownLatch

/** Runs [serve] until it returns; it is handed a function that waits for the signal to stop. */
public fun runUntilStopped(serve: suspend (awaitStop: suspend () -> Unit) -> Unit) {
    // Ktor would close every server at the signal, while the process still answers what is open.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val stop = CompletableDeferred<Unit>()
    val done = CountDownLatch(1)
    val hook =
        Thread {
            stop.complete(Unit)
            done.await()
        }
    Runtime.getRuntime().addShutdownHook(hook)
    try {
        runBlocking { serve { stop.await() } }
    } finally {
        done.countDown()
    }
}

/** Returns milliseconds on a clock that never goes back and keeps running while the process is frozen. */
public fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

private const val NANOS_PER_MILLI = 1_000_000L
