/*
 * Metrics of an entry: requests, latency, cost at the quality target, exposure to versions in a roll-out, and attempts
 * by availability zone.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.Bill
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.ZoneName
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Label value for an unknown item, such as the organisation of a request without a valid key. */
public const val UNKNOWN_LABEL_VALUE: String = "unknown"

/**
 * Describes an ended request.
 *
 * @property organisation null when the key was missing or unknown
 * @property route null when no route matched the request
 * @property version that produced the answer, null without an answer
 * @property failure null for a complete answer
 */
public data class RequestEnd(
    val organisation: OrganisationName?,
    val route: String?,
    val version: ModelVersion?,
    val failure: ErrorKind?,
    val execution: Execution,
    val elapsedNanos: Long,
)

/** Describes an ended attempt; [failure] is null for a complete answer. */
public data class AttemptEnd(
    val version: ModelVersion,
    val zone: ZoneName,
    val failure: ErrorKind?,
    val execution: Execution,
)

/** Records the events of an entry. */
public interface EntryMetrics {
    /** Updates the metrics to [configuration], which is now in force, and removes stale series. */
    public fun inForce(configuration: Configuration)

    /** Counts an ended request and records its total latency. */
    public fun requestEnded(end: RequestEnd)

    /** Records the time to the first byte of an answer. */
    public fun firstByte(
        route: String,
        elapsedNanos: Long,
    )

    /** Records the time between two parts of an answer. */
    public fun chunkGap(
        route: String,
        elapsedNanos: Long,
    )

    /** Counts an attempt that was sent to an availability zone. */
    public fun attemptStarted(
        version: ModelVersion,
        zone: ZoneName,
    )

    public fun attemptEnded(end: AttemptEnd)

    /** Counts the cost and tokens of a bill. */
    public fun billed(
        route: String,
        bill: Bill,
    )

    /** Counts an answer of a cascade that was rejected because its rating was too low. */
    public fun escalated(
        route: String,
        version: ModelVersion,
    )

    /** Records the rating of an answer, 0 to 1. */
    public fun rated(
        route: String,
        version: ModelVersion,
        rating: Double,
    )

    /** Counts a request that the roll-out [rollout] sent to its new version. */
    public fun exposed(
        rollout: String,
        version: ModelVersion,
    )
}

/** Registers the metrics of an entry. */
public fun EntryMetrics(registry: PrometheusRegistry): EntryMetrics = RegisteredEntryMetrics(registry)

private class RegisteredEntryMetrics(
    registry: PrometheusRegistry,
) : EntryMetrics {
    private val configurationMetrics = ConfigurationMetrics(registry)
    private val group = MetricGroup(registry)
    private val requests = group.counter(MetricCatalog.requests)
    private val answers = group.counter(MetricCatalog.answers)
    private val requestSeconds = group.histogram(MetricCatalog.requestSeconds)
    private val firstByteSeconds = group.histogram(MetricCatalog.firstByteSeconds)
    private val chunkGapSeconds = group.histogram(MetricCatalog.chunkGapSeconds)
    private val attemptsStarted = group.counter(MetricCatalog.attemptsStarted)
    private val attempts = group.counter(MetricCatalog.attempts)
    private val cost = group.counter(MetricCatalog.cost)
    private val tokens = group.counter(MetricCatalog.tokens)
    private val escalations = group.counter(MetricCatalog.escalations)
    private val ratings = group.summary(MetricCatalog.ratings)
    private val qualityTarget = group.gauge(MetricCatalog.qualityTarget)
    private val exposures = group.counter(MetricCatalog.exposures)

    override fun inForce(configuration: Configuration) {
        configurationMetrics.inForce(configuration)
        val tables = configuration.tables
        group.removeStale(ORGANISATION_LABEL, tables.organisations.map { it.name.value }.toSet() + UNKNOWN_LABEL_VALUE)
        group.removeStale(ROUTE_LABEL, tables.routes.map { it.name }.toSet() + UNKNOWN_LABEL_VALUE)
        group.removeStale(VERSION_LABEL, versionsOf(configuration))
        group.removeStale(ROLLOUT_LABEL, configuration.rollouts.map { it.name }.toSet())
        tables.routes.forEach { qualityTarget.of(it.name).set(it.qualityTarget) }
    }

    override fun requestEnded(end: RequestEnd) {
        val route = end.route ?: UNKNOWN_LABEL_VALUE
        val organisation = end.organisation?.value ?: UNKNOWN_LABEL_VALUE
        requests.of(organisation, route, kindLabelValue(end.failure), end.execution.name).inc()
        requestSeconds.of(route).observe(end.elapsedNanos.nanosToSeconds())
        if (end.failure == null && end.version != null) answers.of(route, end.version.toString()).inc()
    }

    override fun firstByte(
        route: String,
        elapsedNanos: Long,
    ) = firstByteSeconds.of(route).observe(elapsedNanos.nanosToSeconds())

    override fun chunkGap(
        route: String,
        elapsedNanos: Long,
    ) = chunkGapSeconds.of(route).observe(elapsedNanos.nanosToSeconds())

    override fun attemptStarted(
        version: ModelVersion,
        zone: ZoneName,
    ) = attemptsStarted.of(version.toString(), zone.value).inc()

    override fun attemptEnded(end: AttemptEnd) = attempts
        .of(end.version.toString(), end.zone.value, kindLabelValue(end.failure), end.execution.name)
        .inc()

    override fun billed(
        route: String,
        bill: Bill,
    ) {
        cost.of(bill.organisation.value, route).inc(bill.cost)
        tokens.of(route, "prompt").inc(bill.promptTokens)
        tokens.of(route, "answer").inc(bill.answerTokens)
    }

    override fun escalated(
        route: String,
        version: ModelVersion,
    ) = escalations.of(route, version.toString()).inc()

    override fun rated(
        route: String,
        version: ModelVersion,
        rating: Double,
    ) = ratings.of(route, version.toString()).observe(rating)

    override fun exposed(
        rollout: String,
        version: ModelVersion,
    ) = exposures.of(rollout, version.toString()).inc()
}
