/*
 * The single list of metric definitions. Every metric of the system is created from a definition in this list, and a
 * test keeps the reference page of the metrics equal to it.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.NodeRole

internal const val ORGANISATION_LABEL = "organisation"
internal const val ROUTE_LABEL = "route"
internal const val VERSION_LABEL = "version"
internal const val ZONE_LABEL = "availability_zone"
internal const val ROLLOUT_LABEL = "rollout"
private const val PHASE_LABEL = "phase"
private const val KIND_LABEL = "kind"
private const val EXECUTION_LABEL = "execution"

/** Lists every metric of the system. */
public object MetricCatalog {
    private val requestBoundsSeconds =
        listOf(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0)

    /** Finer near the first-token target of 0.78 s, itself a bound, so that the share of answers within it is exact. */
    private val firstByteBoundsSeconds =
        listOf(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.78, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0)

    /** Finer near the target of 32 ms between tokens, itself a bound, so that the share of gaps within it is exact. */
    private val chunkGapBoundsSeconds =
        listOf(0.001, 0.002, 0.004, 0.008, 0.016, 0.024, 0.032, 0.04, 0.05, 0.064, 0.1, 0.25, 0.5, 1.0, 5.0)

    private val syncBoundsSeconds =
        listOf(0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)

    internal val requests =
        counter(
            "caraway_requests_total",
            "Ended requests.",
            ORGANISATION_LABEL,
            ROUTE_LABEL,
            KIND_LABEL,
            EXECUTION_LABEL,
        )
    internal val answers =
        counter("caraway_answers_total", "Complete answers by the version that gave them.", ROUTE_LABEL, VERSION_LABEL)
    internal val requestSeconds =
        histogram(
            "caraway_request_seconds",
            "Time from request to the end of its answer.",
            requestBoundsSeconds,
            ROUTE_LABEL,
        )
    internal val firstByteSeconds =
        histogram(
            "caraway_first_byte_seconds",
            "Time to the first byte of an answer.",
            firstByteBoundsSeconds,
            ROUTE_LABEL,
        )
    internal val chunkGapSeconds =
        histogram("caraway_chunk_gap_seconds", "Time between parts of an answer.", chunkGapBoundsSeconds, ROUTE_LABEL)
    internal val attemptsStarted =
        counter(
            "caraway_attempts_started_total",
            "Attempts sent to an availability zone.",
            VERSION_LABEL,
            ZONE_LABEL,
        )
    internal val attempts =
        counter(
            "caraway_attempts_total",
            "Ended attempts.",
            VERSION_LABEL,
            ZONE_LABEL,
            KIND_LABEL,
            EXECUTION_LABEL,
        )
    internal val cost =
        counter("caraway_cost_total", "Cost billed, in the operator's currency.", ORGANISATION_LABEL, ROUTE_LABEL)
    internal val tokens = counter("caraway_tokens_total", "Tokens billed.", ROUTE_LABEL, "direction")
    internal val escalations =
        counter(
            "caraway_escalations_total",
            "Answers of a cascade whose rating was too low.",
            ROUTE_LABEL,
            VERSION_LABEL,
        )
    internal val ratings = summary("caraway_answer_rating", "Ratings of answers, 0 to 1.", ROUTE_LABEL, VERSION_LABEL)
    internal val qualityTarget = gauge("caraway_quality_target", "Target rating of answers, 0 to 1.", ROUTE_LABEL)
    internal val exposures =
        counter(
            "caraway_exposed_requests_total",
            "Requests that a roll-out sent to its new version.",
            ROLLOUT_LABEL,
            VERSION_LABEL,
        )

    internal val configurationNumber = gauge("caraway_configuration_number", "Number of the configuration held.")
    internal val zoneOut =
        gauge("caraway_zone_out", "1 while an availability zone is out of service.", ZONE_LABEL)
    internal val rolloutPercent =
        gauge(
            "caraway_rollout_percent",
            "Target percentage of new requests for the new version of a roll-out.",
            ROLLOUT_LABEL,
            VERSION_LABEL,
            PHASE_LABEL,
        )
    internal val versionState =
        gauge("caraway_version_state", "1 for the state that a version is in.", VERSION_LABEL, "state")
    internal val leaseRemaining =
        gauge("caraway_lease_remaining_seconds", "Time for which new work may still start; 0 without a lease.")

    internal val heldBytes = gauge("caraway_held_bytes", "Bytes held for requests and answers.")
    internal val heldBudget = gauge("caraway_held_budget_bytes", "Bytes that may be held.")
    internal val readersPaused = gauge("caraway_slow_readers_paused", "Readers whose upstream is paused now.")
    internal val readerPauses =
        counter("caraway_slow_reader_pauses_total", "Times that an upstream was paused for a slow reader.")
    internal val readersEnded =
        counter("caraway_slow_readers_ended_total", "Slow readers whose stream was ended to free memory.")

    internal val permits = gauge("caraway_agent_permits", "Current concurrency limit of the agent.")
    internal val running = gauge("caraway_agent_running", "Requests that are running.")
    internal val queuedTokens = gauge("caraway_agent_queued_tokens", "Tokens still to be processed.")
    internal val refusals =
        counter("caraway_agent_refusals_total", "Attempts refused before they reached the upstream.", KIND_LABEL)
    internal val agentAttempts =
        counter(
            "caraway_agent_attempts_total",
            "Attempts that the upstream received.",
            VERSION_LABEL,
            KIND_LABEL,
            EXECUTION_LABEL,
        )
    internal val agentAttemptSeconds =
        histogram(
            "caraway_agent_attempt_seconds",
            "Time the upstream took for an attempt.",
            requestBoundsSeconds,
            VERSION_LABEL,
        )
    internal val agentFirstByteSeconds =
        histogram(
            "caraway_agent_first_byte_seconds",
            "Time to the first byte of the upstream.",
            firstByteBoundsSeconds,
            VERSION_LABEL,
        )
    internal val slowStarts =
        counter("caraway_agent_slow_starts_total", "Times that admission restarted at a cold start.")
    internal val quarantines =
        counter("caraway_agent_quarantines_total", "Requests quarantined because they crash upstreams.")

    internal val leading = gauge("caraway_log_leading", "1 while this control host leads.")
    internal val term = gauge("caraway_log_term", "Term of the replicated log.")
    internal val lastIndex = gauge("caraway_log_last_index", "Index of the last entry held.")
    internal val commitIndex = gauge("caraway_log_commit_index", "Index up to which a quorum holds the log.")
    internal val appliedIndex = gauge("caraway_log_applied_index", "Index up to which commands are applied.")
    internal val syncSeconds = histogram("caraway_log_sync_seconds", "Time of one sync of the log.", syncBoundsSeconds)
    internal val syncedEntries = counter("caraway_log_synced_entries_total", "Log entries made durable.")
    internal val proposals =
        counter("caraway_proposals_total", "Commands proposed, by outcome.", KIND_LABEL, EXECUTION_LABEL)
    internal val proposalSeconds =
        histogram("caraway_proposal_seconds", "Time from a proposal to its reply.", syncBoundsSeconds)
    internal val heartbeats = counter("caraway_heartbeats_total", "Heartbeats received.", "role")
    internal val changes =
        counter(
            "caraway_configuration_changes_total",
            "Requested configuration changes, by outcome.",
            KIND_LABEL,
        )
    internal val holders =
        gauge("caraway_holders", "Processes that hold a configuration, current or behind.", "role", "state")
    internal val upstreams = gauge("caraway_upstreams", "Announced upstreams.", ZONE_LABEL, "state")
    internal val openIntents =
        gauge("caraway_ledger_open_intents", "Requests recorded as started and not yet as ended.")
    internal val sessions = gauge("caraway_ledger_sessions", "Sessions that are pinned to a version.")

    internal val spans = counter("caraway_spans_total", "Ended spans, by whether they were written.", "outcome")
    internal val residentBytes = gauge("process_resident_memory_bytes", "Resident memory; 0 where it is not known.")
    internal val cpuSeconds = counter("process_cpu_seconds_total", "Processor time spent.")
    internal val startSeconds = gauge("process_start_time_seconds", "Start of the process since the epoch.")
    internal val memoryUsed = gauge("jvm_memory_used_bytes", "Memory used.", "area")
    internal val memoryCommitted = gauge("jvm_memory_committed_bytes", "Memory committed.", "area")
    internal val memoryMax = gauge("jvm_memory_max_bytes", "Memory limit; -1 without one.", "area")
    internal val bufferBytes = gauge("jvm_buffer_pool_used_bytes", "Memory of buffers outside the heap.", "pool")
    internal val threads = gauge("jvm_threads_current", "Live threads.")
    internal val threadsDaemon = gauge("jvm_threads_daemon", "Live daemon threads.")
    internal val gcSeconds = counter("jvm_gc_collection_seconds_total", "Time spent in garbage collection.", "gc")
    internal val gcCollections = counter("jvm_gc_collections_total", "Garbage collections.", "gc")

    internal val hostRequests =
        counter(
            "caraway_host_requests_total",
            "Ended requests of a host.",
            ORGANISATION_LABEL,
            ROUTE_LABEL,
            KIND_LABEL,
            EXECUTION_LABEL,
        )
    internal val hostRequestSeconds =
        histogram("caraway_host_request_seconds", "Time from request to the end.", requestBoundsSeconds, ROUTE_LABEL)
    internal val hostFirstByteSeconds =
        histogram("caraway_host_first_byte_seconds", "Time to the first byte.", firstByteBoundsSeconds, ROUTE_LABEL)
    internal val hostAttempts =
        counter("caraway_host_attempts_total", "Ended attempts of a host.", "pool", VERSION_LABEL, "outcome")
    internal val hostRetries =
        counter(
            "caraway_host_retries_total",
            "Retries that a host's part of the shared budget granted or denied.",
            "pool",
            "reason",
            "outcome",
        )
    internal val hostConfiguration =
        gauge("caraway_host_configuration_version", "Version of the operator's document in force on a host.")
    internal val hostViewIndex =
        gauge("caraway_host_view_index", "Log index of the latest agreed state known to a host.")
    internal val hostUpstreams = gauge("caraway_host_upstreams", "Upstreams known to a host, by pool.", "pool")
    internal val hostLastContactAge =
        gauge(
            "caraway_host_upstream_silence_seconds",
            "Longest time since an upstream last reported to a host, by pool.",
            "pool",
        )
    internal val hostPeers = gauge("caraway_host_peers", "Hosts known to a host, including itself.")
    internal val hostLeading = gauge("caraway_host_leading", "Whether a host leads the core, 0 or 1.")
    internal val hostVoters =
        gauge("caraway_host_voters", "Voters of the core by whether they reply; only from the leader.", "state")

    /** All metrics, grouped by purpose. */
    public val sections: List<MetricSection> =
        listOf(
            MetricSection(
                "Requests and latency",
                setOf(NodeRole.Entry),
                listOf(requests, answers, requestSeconds, firstByteSeconds, chunkGapSeconds),
            ),
            MetricSection(
                "Cost at the quality target",
                setOf(NodeRole.Entry),
                listOf(cost, tokens, escalations, ratings, qualityTarget),
            ),
            MetricSection(
                "Exposure to versions and service by availability zone",
                setOf(NodeRole.Entry),
                listOf(exposures, attemptsStarted, attempts),
            ),
            MetricSection(
                "Configuration in force",
                setOf(NodeRole.Entry, NodeRole.Agent, NodeRole.Control),
                listOf(configurationNumber, zoneOut, rolloutPercent, versionState),
            ),
            MetricSection("Lease", setOf(NodeRole.Entry, NodeRole.Agent), listOf(leaseRemaining)),
            MetricSection(
                "Memory held for slow readers",
                setOf(NodeRole.Entry, NodeRole.Agent),
                listOf(heldBytes, heldBudget, readersPaused, readerPauses, readersEnded),
            ),
            MetricSection(
                "Admission to an upstream",
                setOf(NodeRole.Agent),
                listOf(
                    permits,
                    running,
                    queuedTokens,
                    refusals,
                    agentAttempts,
                    agentAttemptSeconds,
                    agentFirstByteSeconds,
                    slowStarts,
                    quarantines,
                ),
            ),
            MetricSection(
                "Replicated log",
                setOf(NodeRole.Control),
                listOf(
                    leading,
                    term,
                    lastIndex,
                    commitIndex,
                    appliedIndex,
                    syncSeconds,
                    syncedEntries,
                    proposals,
                    proposalSeconds,
                ),
            ),
            MetricSection(
                "Holders, upstreams and ledger",
                setOf(NodeRole.Control),
                listOf(heartbeats, changes, holders, upstreams, openIntents, sessions),
            ),
            hostSection(),
            MetricSection(
                "Process",
                setOf(NodeRole.Entry, NodeRole.Agent, NodeRole.Control),
                listOf(
                    residentBytes,
                    cpuSeconds,
                    startSeconds,
                    memoryUsed,
                    memoryCommitted,
                    memoryMax,
                    bufferBytes,
                    threads,
                    threadsDaemon,
                    gcSeconds,
                    gcCollections,
                ),
            ),
            MetricSection(
                "Spans",
                setOf(NodeRole.Entry, NodeRole.Agent, NodeRole.Control),
                listOf(spans),
            ),
        )
}
