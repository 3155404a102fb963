/*
 * Identifiers shared by all modules. Each is a value class over a string, so that the compiler rejects an organisation
 * where an upstream is expected, and the serialized form is the plain string.
 */
package io.carawaytrack.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Names an organisation, whose callers share keys, allowed versions and billing. */
@Serializable
@JvmInline
public value class OrganisationName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Names an availability zone, whose hosts can fail together and are taken out of service together. */
@Serializable
@JvmInline
public value class ZoneName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Names a pool, the row of the pools table that a route refers to. */
@Serializable
@JvmInline
public value class PoolName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies one upstream, the back end that an agent runs beside. */
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

/** Identifies one request of a caller; a retry with the same idempotency key keeps the identifier. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a session of an organisation; all its requests run on the same version. */
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
    /** Returns `model@version`, the form used in tables, headers and logs. */
    override fun toString(): String = "$model@$version"

    public companion object {
        /** Version of every plain service. */
        public const val SERVICE_VERSION: String = "service"

        /** Parses `model@version`; returns null if either part is missing. */
        public fun parse(text: String): ModelVersion? {
            val parts = text.split('@')
            if (parts.size != 2 || parts.any(String::isBlank)) return null
            return ModelVersion(parts[0], parts[1])
        }
    }
}
