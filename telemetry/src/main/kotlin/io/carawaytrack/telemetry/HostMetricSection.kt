/*
 * The metrics of a host on the platform, in the order of the catalog.
 */
package io.carawaytrack.telemetry

import io.carawaytrack.model.NodeRole

/** Returns the section; called while the catalog is built, after the definitions that it refers to. */
internal fun hostSection(): MetricSection = MetricSection(
    "Host on the platform",
    setOf(NodeRole.Host),
    listOf(
        MetricCatalog.hostRequests,
        MetricCatalog.hostRequestSeconds,
        MetricCatalog.hostFirstByteSeconds,
        MetricCatalog.hostAttempts,
        MetricCatalog.hostRetries,
        HostLoadDefinitions.abandonedUpstreams,
        HostLoadDefinitions.invalidResponses,
        HostLoadDefinitions.keptAnswers,
        MetricCatalog.hostConfiguration,
        MetricCatalog.hostViewIndex,
        MetricCatalog.hostUpstreams,
        HostLoadDefinitions.limitedUpstreams,
        HostLoadDefinitions.unreadTokens,
        HostLoadDefinitions.enginePace,
        HostLoadDefinitions.crossingShare,
        MetricCatalog.hostLastContactAge,
        MetricCatalog.hostPeers,
        MetricCatalog.hostLeading,
        MetricCatalog.hostVoters,
        HostLoadDefinitions.unfinished,
        HostLoadDefinitions.waiting,
        HostLoadDefinitions.dutyToken,
        HostLoadDefinitions.unreportedUsageAge,
        HostLoadDefinitions.replicaOrders,
        HostLoadDefinitions.dutyFailures,
        HostQueueDefinitions.waitSeconds,
        HostQueueDefinitions.exits,
        HostQueueDefinitions.admittedWork,
    ),
)
