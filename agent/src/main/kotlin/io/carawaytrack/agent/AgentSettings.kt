/*
 * Settings of an agent, read from its TOML file.
 */
package io.carawaytrack.agent

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.process.ProcessSettings
import io.carawaytrack.process.processSettings
import io.carawaytrack.tables.SettingsReader

/**
 * Settings of an agent.
 *
 * @property upstreamAddress address of the upstream that this agent serves
 * @property linkAddress address on which entries connect
 * @property versions model versions or service names that the upstream serves
 * @property maxPermits maximum concurrent requests of the upstream when it is warm
 * @property coldPermits maximum concurrent requests right after a cold start
 * @property rampMillis minimum time from a cold start to [maxPermits]; must cover the longest cold start
 * @property settleMillis time after which the agent commits an outcome that its entry has not settled
 */
internal data class AgentSettings(
    val process: ProcessSettings,
    val upstream: UpstreamId,
    val upstreamAddress: HostPort,
    val kind: ServiceKind,
    val versions: List<ModelVersion>,
    val linkAddress: HostPort,
    val control: List<HostPort>,
    val maxPermits: Int,
    val coldPermits: Int,
    val rampMillis: Long,
    val settleMillis: Long,
)

private const val MODEL_KIND = "model"
private const val DEFAULT_PERMITS = 32
private const val DEFAULT_COLD_PERMITS = 4
private const val MAX_PERMITS = 100_000
private const val DEFAULT_RAMP_MILLIS = 10_000L
private const val MAX_RAMP_MILLIS = 3_600_000L
private const val DEFAULT_SETTLE_MILLIS = 10_000L
private const val MAX_SETTLE_MILLIS = 3_600_000L

internal fun SettingsReader.agentSettings(): AgentSettings {
    val process = processSettings()
    val kind = choice("upstream.kind", setOf(MODEL_KIND, "service"), MODEL_KIND)
    return AgentSettings(
        process = process,
        upstream = UpstreamId(text("upstream.id")),
        upstreamAddress = address("upstream.address"),
        kind = if (kind == MODEL_KIND) ServiceKind.Model else ServiceKind.Service,
        versions = textList("upstream.versions").map(::servedVersion),
        linkAddress = address("link_address"),
        control = addressList("control_addresses"),
        maxPermits = int("upstream.max_permits", 1..MAX_PERMITS, DEFAULT_PERMITS),
        coldPermits = int("upstream.cold_permits", 1..MAX_PERMITS, DEFAULT_COLD_PERMITS),
        rampMillis = long("upstream.ramp_millis", 0..MAX_RAMP_MILLIS, DEFAULT_RAMP_MILLIS),
        settleMillis = long("settle_millis", 0..MAX_SETTLE_MILLIS, DEFAULT_SETTLE_MILLIS),
    )
}

// A plain service has no versions and is listed by its name alone.
private fun servedVersion(text: String) = ModelVersion.parse(text) ?: ModelVersion(text, ModelVersion.SERVICE_VERSION)
