/*
 * What a host tells the others about crashes of upstreams, so that all hosts together find the prompt part that causes
 * them.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.UpstreamId
import kotlinx.serialization.Serializable

/** A prompt as the identifiers of its parts, in order. */
public typealias PromptParts = List<String>

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
