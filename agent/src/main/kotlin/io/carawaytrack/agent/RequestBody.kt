/*
 * Bodies of requests to the upstream. The last two bytes of a long body follow its other bytes one by one. An upstream
 * that has ended its connection without having read the request answers the first of them with a reset, and the other
 * one cannot be sent then. Without them an upstream that has answered early and ended could have read by chance what
 * had arrived, and a part of an answer without a length would look complete: the JDK's client does not notice a reset
 * that follows the end of the answer.
 */
package io.carawaytrack.agent

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.jdk9.asPublisher
import java.net.http.HttpRequest.BodyPublisher
import java.net.http.HttpRequest.BodyPublishers
import java.nio.ByteBuffer

/**
 * Size of a body up to which it fits into the buffers of its receiver, whether or not it is read: the window of a
 * connection without scaling.
 */
private const val MAX_BUFFERED_BODY_BYTES = 64 * 1024
private const val PART_BYTES = 16 * 1024
private const val HELD_BYTES = 2

/** Time within which the upstream, which is beside the agent, has ended after its answer, or has reset a connection. */
private const val REACTION_MILLIS = 20L

internal fun requestBody(body: ByteArray): BodyPublisher = when {
    body.isEmpty() -> BodyPublishers.noBody()
    body.size <= MAX_BUFFERED_BODY_BYTES -> BodyPublishers.ofByteArray(body)
    else -> BodyPublishers.fromPublisher(partsOf(body).asPublisher(Dispatchers.Default), body.size.toLong())
}

/** Emits the parts of a long [body]; the client asks for each one once those before it have been written. */
private fun partsOf(body: ByteArray): Flow<ByteBuffer> = flow {
    val heldFrom = body.size - HELD_BYTES
    for (from in 0 until heldFrom step PART_BYTES) emit(ByteBuffer.wrap(body, from, minOf(PART_BYTES, heldFrom - from)))
    for (from in heldFrom until body.size) {
        delay(REACTION_MILLIS)
        emit(ByteBuffer.wrap(body, from, 1))
    }
}
