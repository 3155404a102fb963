/*
 * Text output of what control answers.
 */
package io.carawaytrack.ctl

import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Bill
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.HistoryEntry
import io.carawaytrack.model.HolderStatus
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.StatusReport
import io.carawaytrack.model.VersionState
import java.time.Instant

/** Renders rows in columns as wide as their widest cell; returns an empty string when there are no rows. */
internal fun columns(
    header: List<String>,
    rows: List<List<String>>,
): String {
    if (rows.isEmpty()) return ""
    val all = listOf(header) + rows
    val widths = header.indices.map { column -> all.maxOf { it[column].length } }
    return all.joinToString("\n") { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}

/** Returns the holders whose configuration is older than [number]. */
internal fun List<HolderStatus>.behind(number: Long): List<HolderStatus> = filter { it.configurationNumber < number }

/** Renders the processes that are behind as one line, `nobody` when there are none. */
internal fun behindText(behind: List<HolderStatus>): String = behind
    .joinToString { "${it.node} (${it.zone}) at ${it.configurationNumber}, last heard ${it.ageMillis} ms ago" }
    .ifEmpty { "nobody" }

/** Renders the status as one paragraph per topic; topics without rows are omitted. */
internal fun statusText(status: StatusReport): String = paragraphs(
    summaryText(status),
    controlText(status),
    zonesText(status),
    versionsText(status),
    upstreamsText(status),
    rolloutsText(status.rollouts),
)

private fun paragraphs(vararg texts: String): String = texts.filter(String::isNotEmpty).joinToString("\n\n")

private fun summaryText(status: StatusReport): String {
    val behind = status.holders.behind(status.configurationNumber)
    val current = status.holders.size - behind.size
    return listOf(
        "configuration ${status.configurationNumber}, held by $current of ${status.holders.size} processes",
        "behind: ${behindText(behind)}",
    ).joinToString("\n")
}

private fun controlText(status: StatusReport): String = columns(
    listOf("CONTROL", "LEADS", "TERM", "APPLIED"),
    status.control.map { listOf("${it.node}", yesNo(it.leading), "${it.term}", "${it.appliedIndex}") },
)

private fun zonesText(status: StatusReport): String {
    val announced = status.upstreams.groupBy(Announcement::zone)
    val processes = status.holders.groupBy(HolderStatus::zone)
    val zones = (announced.keys + processes.keys + status.zonesOut).sortedBy { it.value }
    return columns(
        listOf("ZONE", "IN SERVICE", "PROCESSES", "UPSTREAMS", "RUNNING", "QUEUED TOKENS"),
        zones.map { zone ->
            val upstreams = announced[zone].orEmpty()
            listOf("$zone", yesNo(zone !in status.zonesOut), "${processes[zone].orEmpty().size}") + loadCells(upstreams)
        },
    )
}

private fun versionsText(status: StatusReport): String {
    val announced = status.upstreams.flatMap { it.versions.map(Any::toString) }
    val versions = (announced + status.versionStates.keys).distinct().sorted()
    return columns(
        listOf("VERSION", "STATE", "UPSTREAMS", "RUNNING", "QUEUED TOKENS"),
        versions.map { version ->
            val upstreams = status.upstreams.filter { upstream -> upstream.versions.any { it.toString() == version } }
            listOf(version, (status.versionStates[version] ?: VersionState.Serving).name) + loadCells(upstreams)
        },
    )
}

/** Renders the number of [upstreams] and the sums of their loads. */
private fun loadCells(upstreams: List<Announcement>): List<String> = listOf(
    "${upstreams.size}",
    "${upstreams.sumOf { it.load.running }}",
    "${upstreams.sumOf { it.load.queuedTokens }}",
)

private fun upstreamsText(status: StatusReport): String = columns(
    listOf("UPSTREAM", "ZONE", "IN SERVICE", "PERMITS", "RUNNING", "QUEUED TOKENS", "VERSIONS"),
    status.upstreams.sortedBy { it.upstream.value }.map { upstream ->
        listOf(
            "${upstream.upstream}",
            "${upstream.zone}",
            serviceText(upstream, status),
            "${upstream.load.permits}",
            "${upstream.load.running}",
            "${upstream.load.queuedTokens}",
            upstream.versions.joinToString(),
        )
    },
)

private fun serviceText(
    upstream: Announcement,
    status: StatusReport,
): String = when {
    upstream.leaving -> "leaving"
    upstream.upstream in status.upstreamsOut -> "no"
    upstream.zone in status.zonesOut -> "no (zone)"
    else -> "yes"
}

private fun rolloutsText(rollouts: List<Rollout>): String = columns(
    listOf("ROLLOUT", "POOL", "FROM", "TO", "PERCENT", "PHASE"),
    rollouts.map { listOf(it.name, "${it.pool}", "${it.from}", "${it.to}", "${it.percent}", "${it.phase}") },
)

/** Renders accepted changes, one per row. */
internal fun historyText(entries: List<HistoryEntry>): String = columns(
    listOf("NUMBER", "AT", "OPERATOR", "CHANGE"),
    entries.map { entry ->
        listOf(
            "${entry.number}",
            "${Instant.ofEpochMilli(entry.atMillis)}",
            entry.operator,
            changeText(entry.change),
        )
    },
)

/** Renders a change in one line that resembles the command that makes it. */
internal fun changeText(change: ConfigurationChange): String = when (change) {
    is ConfigurationChange.ApplyTables ->
        with(
            change.tables,
        ) { "apply (${routes.size} routes, ${pools.size} pools)" }
    is ConfigurationChange.SetZone -> "zone ${inOut(change.inService)} ${change.zone}"
    is ConfigurationChange.SetUpstream -> "upstream ${inOut(change.inService)} ${change.upstream}"
    is ConfigurationChange.SetVersion -> "version ${change.version} is ${change.state}"
    is ConfigurationChange.SetRollout -> with(change.rollout) { "rollout start $name $from to $to at $percent %" }
    is ConfigurationChange.AdvanceRollout ->
        "rollout ${change.name} is ${change.phase}" + change.percent?.let { " at $it %" }.orEmpty()
    is ConfigurationChange.RollbackTo -> "rollback ${change.number}"
}

/** Renders bills, one per row, and their sum. */
internal fun billsText(bills: List<Bill>): String {
    val rows =
        bills.map { bill ->
            listOf(
                "${bill.request}",
                "${bill.organisation}",
                bill.attempts.joinToString(" then "),
                "${bill.promptTokens}",
                "${bill.answerTokens}",
                "${bill.cost}",
            )
        }
    val header = listOf("REQUEST", "ORGANISATION", "VERSIONS", "PROMPT TOKENS", "ANSWER TOKENS", "COST")
    return paragraphs(columns(header, rows), "bills: ${bills.size}, cost: ${bills.sumOf { it.cost }}")
}

/** Renders the tables in force, row by row. */
internal fun configurationText(configuration: Configuration): String = paragraphs(
    "configuration ${configuration.number}",
    organisationsText(configuration),
    routesText(configuration),
    poolsText(configuration),
)

private fun organisationsText(configuration: Configuration): String = columns(
    listOf("ORGANISATION", "KEYS", "SHARE", "ALLOWS"),
    configuration.tables.organisations.map {
        listOf("${it.name}", "${it.keySha256.size}", "${it.share}", it.allows.joinToString())
    },
)

private fun routesText(configuration: Configuration): String = columns(
    listOf("ROUTE", "KIND", "METHODS", "PATH", "MODEL", "POOL", "TARGET", "ORGANISATIONS"),
    configuration.tables.routes.map { route ->
        listOf(
            route.name,
            "${route.kind}",
            route.methods.joinToString(),
            route.pathPrefix,
            route.model ?: "-",
            "${route.pool}",
            "${route.qualityTarget}",
            route.organisations.joinToString(),
        )
    },
)

private fun poolsText(configuration: Configuration): String = columns(
    listOf("POOL", "VERSION", "STATE", "COST", "QUALITY", "WEIGHT", "INCLUDES"),
    configuration.tables.pools.flatMap { pool ->
        val includes = pool.includes.joinToString()
        pool.members
            .map { member ->
                listOf(
                    "${pool.name}",
                    "${member.version}",
                    "${configuration.stateOf(member.version)}",
                    "${member.costPerKiloToken}",
                    "${member.expectedQuality}",
                    "${member.weight}",
                    includes,
                )
            }.ifEmpty { listOf(listOf("${pool.name}", "-", "-", "-", "-", "-", includes)) }
    },
)

private fun yesNo(value: Boolean): String = if (value) "yes" else "no"

private fun inOut(inService: Boolean): String = if (inService) "in" else "out"
