/*
 * What an entry reports: requests, latency, cost at the quality target, exposure to versions on trial, and the
 * attempts by availability zone.
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

/** Value of a label whose item is not known, such as the organisation of a request without a valid key. */
public const val UNKNOWN_LABEL_VALUE: String = "unknown"

/**
 * Describes an ended request.
 *
 * @property organisation null when the key was missing or unknown
 * @property route null when no route took the request
 * @property version whose answer was given, null when none was
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

/** Records what an entry does. */
public interface EntryMetrics {
    /** Takes in the configuration that is in force, and forgets the series of what it no longer names. */
    public fun inForce(configuration: Configuration)

    /** Counts an ended request and its whole latency. */
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

    /** Counts an attempt that is sent out. */
    public fun attemptStarted(
        version: ModelVersion,
        zone: ZoneName,
    )

    /** Counts an ended attempt. */
    public fun attemptEnded(end: AttemptEnd)

    /** Counts what a request was billed. */
    public fun billed(
        route: String,
        bill: Bill,
    )

    /** Counts an answer of a cascade that was not taken because its rating was too low. */
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

    /** Counts a request that the roll-out [rollout] sent to the version on trial. */
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
        group.forget(ORGANISATION_LABEL, tables.organisations.map { it.name.value }.toSet() + UNKNOWN_LABEL_VALUE)
        group.forget(ROUTE_LABEL, tables.routes.map { it.name }.toSet() + UNKNOWN_LABEL_VALUE)
        group.forget(VERSION_LABEL, versionsOf(configuration))
        group.forget(ROLLOUT_LABEL, configuration.rollouts.map { it.name }.toSet())
        tables.routes.forEach { qualityTarget.of(it.name).set(it.qualityTarget) }
    }

    override fun requestEnded(end: RequestEnd) {
        val route = end.route ?: UNKNOWN_LABEL_VALUE
        val organisation = end.organisation?.value ?: UNKNOWN_LABEL_VALUE
        requests.of(organisation, route, labelOf(end.failure), end.execution.name).inc()
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
        .of(end.version.toString(), end.zone.value, labelOf(end.failure), end.execution.name)
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
