/*
 * What a host tells the others about crashes of upstreams, so that all hosts together find the request or the prompt
 * part that causes them.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.UpstreamId
import kotlinx.serialization.Serializable

/**
 * A prompt as the identifiers of its parts, in order, with entries of [routePart] and [callerPart] for its request. A
 * request without a prompt has one entry of [contentPart] instead of parts.
 */
public typealias PromptParts = List<String>

/** Begin the entries that tell where a request comes from. Identifiers of prompt parts contain no colon. */
private const val ROUTE_PREFIX = "route:"
private const val CALLER_PREFIX = "caller:"
private const val CONTENT_PREFIX = "content:"

/** Returns the entry of a prompt that tells the route with [name]. */
public fun routePart(name: String): String = ROUTE_PREFIX + name

/** Returns the entry of a prompt that tells the [organisation] whose requests on [route] it belongs to. */
public fun callerPart(
    organisation: String,
    route: String,
): String = "$CALLER_PREFIX$organisation/$route"

/** Returns the entry that stands for the content of a request: its caller, method, path and body. */
public fun contentPart(hash: String): String = CONTENT_PREFIX + hash

/** Returns whether [part] stands for the content of a request. */
public fun isContent(part: String): Boolean = part.startsWith(CONTENT_PREFIX)

/** Returns whether [part] tells where a request comes from and isn't a part of its prompt. */
public fun isOrigin(part: String): Boolean = part.startsWith(ROUTE_PREFIX) || part.startsWith(CALLER_PREFIX)

/** Returns the entry of [prompt] that tells the route, or null if there is none, as hosts of older builds send none. */
public fun routeOf(prompt: PromptParts): String? = prompt.firstOrNull { it.startsWith(ROUTE_PREFIX) }

/** Returns the entry of [prompt] that tells the caller, or null if there is none, as on routes that need no key. */
public fun callerOf(prompt: PromptParts): String? = prompt.firstOrNull { it.startsWith(CALLER_PREFIX) }

/**
 * Describes the crash of an upstream.
 *
 * @property startedAtMillis start of the upstream, which distinguishes two crashes under one identifier
 * @property ageMillis time since the crash
 * @property prompts prompts that the upstream may have begun to answer when it crashed
 * @property requests all requests that were in progress when it crashed
 */
@Serializable
public data class UpstreamCrash(
    val id: UpstreamId,
    val startedAtMillis: Long,
    val ageMillis: Long,
    val prompts: List<PromptParts>,
    val requests: List<CrashedRequest> = emptyList(),
)

/**
 * Identifies a request that was in progress at a crash.
 *
 * @property content entry of [contentPart]
 * @property answering whether its answer had gone on for some time
 */
@Serializable
public data class CrashedRequest(
    val content: String,
    val answering: Boolean = false,
)

/** States that an upstream was answering a request with [part] without a crash, [ageMillis] ago. */
@Serializable
public data class SoundPart(
    val part: String,
    val ageMillis: Long,
)

/**
 * States how many requests of [caller] upstreams have answered for the host process [host].
 *
 * @property count total since [caller] was first in progress at a crash that this process knows
 */
@Serializable
public data class CallerAnswers(
    val caller: String,
    val host: Long,
    val count: Int,
)

/** Crashes, the parts of their prompts that are known not to cause them, and answers to callers in their prompts. */
@Serializable
public data class CrashReport(
    val crashes: List<UpstreamCrash>,
    val sound: List<SoundPart>,
    val answers: List<CallerAnswers> = emptyList(),
) {
    /** Whether the report contains nothing. */
    public val isEmpty: Boolean get() = crashes.isEmpty() && sound.isEmpty() && answers.isEmpty()
}
