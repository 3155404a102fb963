/*
 * The identifiers that every module shares. Each is a value class over a string, so that an organisation cannot be
 * passed where an upstream is meant, and so that on the wire it costs no more than its text.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Names an organisation whose callers share keys, allowances and a bill. */
@Serializable
@JvmInline
public value class OrganisationName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Names an availability zone, an area whose hosts fail and are taken out together. */
@Serializable
@JvmInline
public value class ZoneName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Names a pool, the row of the pools table that a route points to. */
@Serializable
@JvmInline
public value class PoolName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies one upstream, the back end that an agent stands beside. */
@Serializable
@JvmInline
public value class UpstreamId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies one process of the system: an entry, an agent or a control host. */
@Serializable
@JvmInline
public value class NodeId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies one request of a caller; a resend under the same idempotency key keeps it. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a session of an organisation; its requests stay on one version. */
@Serializable
@JvmInline
public value class SessionId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Names one version of a model, or one plain service (whose version is [SERVICE_VERSION]). */
@Serializable
public data class ModelVersion(
    val model: String,
    val version: String,
) {
    /** Renders as `model@version`, the form that tables, headers and logs use. */
    override fun toString(): String = "$model@$version"

    public companion object {
        /** Stands as the version of every plain service. */
        public const val SERVICE_VERSION: String = "service"

        /** Reads `model@version`; returns null when either part is missing. */
        public fun parse(text: String): ModelVersion? {
            val parts = text.split('@')
            if (parts.size != 2 || parts.any(String::isBlank)) return null
            return ModelVersion(parts[0], parts[1])
        }
    }
}
