/*
 * What a host tells the others about crashes of upstreams, so that all hosts together find the prompt part that causes
 * them.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.UpstreamId
import kotlinx.serialization.Serializable

/** A prompt as the identifiers of its parts, in order; an entry of [routePart] tells the route of its request. */
public typealias PromptParts = List<String>

/** Begins the entry with a route's name. Identifiers of parts contain no colon. */
private const val ROUTE_PREFIX = "route:"

/** Returns the entry of a prompt that tells the route with [name]. */
public fun routePart(name: String): String = ROUTE_PREFIX + name

/** Returns whether [part] tells the route of a request and isn't a part of its prompt. */
public fun isRoute(part: String): Boolean = part.startsWith(ROUTE_PREFIX)

/** Returns the entry of [prompt] that tells the route, or null if there is none, as hosts of older builds send none. */
public fun routeOf(prompt: PromptParts): String? = prompt.firstOrNull(::isRoute)

/**
 * Describes the crash of an upstream.
 *
 * @property startedAtMillis start of the upstream, which distinguishes two crashes under one identifier
 * @property ageMillis time since the crash
 * @property prompts prompts that the upstream may have begun to answer when it crashed
 */
@Serializable
public data class UpstreamCrash(
    val id: UpstreamId,
    val startedAtMillis: Long,
    val ageMillis: Long,
    val prompts: List<PromptParts>,
)

/** States that an upstream was answering a prompt with [part] without a crash, [ageMillis] ago. */
@Serializable
public data class SoundPart(
    val part: String,
    val ageMillis: Long,
)

/** Crashes, and the parts of their prompts that are known not to cause them. */
@Serializable
public data class CrashReport(
    val crashes: List<UpstreamCrash>,
    val sound: List<SoundPart>,
) {
    /** Whether the report contains nothing. */
    public val isEmpty: Boolean get() = crashes.isEmpty() && sound.isEmpty()
}
