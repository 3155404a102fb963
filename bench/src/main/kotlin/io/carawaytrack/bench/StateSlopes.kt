/*
 * Slopes that need no other process: bytes of each message by what it carries, and the memory and processor time of the
 * request ledger by its records.
 */
package io.carawaytrack.bench

import io.carawaytrack.ledger.Ledger
import io.carawaytrack.ledger.LedgerCommand
import io.carawaytrack.ledger.StoredAnswer
import io.carawaytrack.ledger.encode
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Bill
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.LEASE_MILLIS
import io.carawaytrack.model.Membership
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.RequestId
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.SessionId
import io.carawaytrack.model.Tables
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.VersionState
import io.carawaytrack.model.ZoneName
import io.carawaytrack.wire.ConfigurationPush
import io.carawaytrack.wire.Heartbeat
import io.carawaytrack.wire.LeaseGrant
import io.carawaytrack.wire.Message
import io.carawaytrack.wire.encode
import java.lang.management.ManagementFactory

private const val ANSWER_BYTES = 1_000
private const val NANOS_PER_MICRO = 1_000.0
private const val SETTLE_ROUNDS = 3
private const val SOME_PERMITS = 32
private const val SOME_RUNNING = 17
private const val SOME_TOKENS = 12_345L
private const val DIGEST_BYTES = 32
private const val STATUS_OK = 200
private const val PROMPT_TOKENS = 800L
private const val ANSWER_TOKENS = 215L
private const val UUID_TAIL_DIGITS = 12
private const val SMALL_RUN = 10_000

private val upstreamCounts = listOf(1, 50, 150, 450)
private val organisationCounts = listOf(10, 50, 100, 200)
private val recordCounts = listOf(SMALL_RUN, 20_000, 40_000, 80_000)
private val organisation = OrganisationName("sajha-dealer-07")
private val version = ModelVersion("quill-large", "2026-11-30")

internal fun stateSlopes(): List<SlopeReport> = listOf(
    slopeReport("grant bytes by changed upstreams", "bytes", upstreamCounts.map(::grantBytes)),
    slopeReport("configuration bytes by organisations and routes", "bytes", organisationCounts.map(::tableBytes)),
    slopeReport("ledger heap bytes by finished requests", "bytes", recordCounts.map { heapOf(it, keyed = true) }),
    slopeReport("ledger heap bytes by bills alone", "bytes", recordCounts.map { heapOf(it, keyed = false) }),
    slopeReport("ledger microseconds by begin and finish", "microseconds", recordCounts.map(::applyTime)),
)

/** Returns the sizes of single messages, in bytes. */
internal fun messageBytes(): Map<String, Int> = mapOf(
    "heartbeat of an entry" to frameBytes(Heartbeat(SMALL_RUN.toLong(), 1, membershipNumber = SMALL_RUN.toLong())),
    "heartbeat of an agent" to frameBytes(Heartbeat(SMALL_RUN.toLong(), 1, announcement(1))),
    "grant without news" to frameBytes(LeaseGrant(SMALL_RUN.toLong(), LEASE_MILLIS, 1)),
    "ledger begin" to begin(1).encode().size,
    "ledger finish with a kept answer" to finish(1, keyed = true).encode().size,
    "ledger finish without an answer" to finish(1, keyed = false).encode().size,
)

private fun frameBytes(message: Message): Int = message.encode().size + Int.SIZE_BYTES

private fun announcement(number: Int) = Announcement(
    upstream = UpstreamId("engine-ktm-$number"),
    zone = ZoneName("ktm-a"),
    agentHost = "10.0.12.34",
    agentPort = 7_400,
    incarnation = 1_764_800_000_000,
    versions = listOf(version),
    load = UpstreamLoad(permits = SOME_PERMITS, running = SOME_RUNNING, queuedTokens = SOME_TOKENS),
)

private fun grantBytes(count: Int): Point {
    val membership = Membership(1, complete = false, upstreams = List(count, ::announcement))
    val grant = LeaseGrant(1, LEASE_MILLIS, 1, membership = membership)
    return Point(count.toDouble(), frameBytes(grant).toDouble())
}

private fun tableBytes(count: Int): Point {
    val organisations =
        List(count) { number ->
            Organisation(
                OrganisationName("dealer-$number"),
                listOf("ab".repeat(DIGEST_BYTES)),
                listOf("quill-small@*", "*@2"),
            )
        }
    val routes =
        List(count) { number ->
            Route(
                name = "route-$number",
                kind = ServiceKind.Model,
                methods = listOf("POST"),
                pathPrefix = "/v1/chat/completions",
                model = "diagnosis-$number",
                organisations = listOf("dealer-$number"),
                pool = PoolName("diagnosis"),
                qualityTarget = 0.8,
            )
        }
    val configuration = Configuration(1, Tables(organisations, routes))
    return Point(count.toDouble(), frameBytes(ConfigurationPush(configuration)).toDouble())
}

private fun begin(number: Int) = LedgerCommand.Begin(
    organisation = organisation,
    request = requestId(number),
    key = "key-$number",
    digest = number.toLong(),
    session = SessionId("session-$number"),
    version = version,
    repeatable = true,
    timeoutMillis = 60_000,
    atMillis = 1_764_800_000_000,
)

private fun finish(
    number: Int,
    keyed: Boolean,
) = LedgerCommand.Finish(
    organisation = organisation,
    request = requestId(number),
    answer = if (keyed) StoredAnswer(STATUS_OK, "application/json", ByteArray(ANSWER_BYTES), version) else null,
    bill = Bill(requestId(number), organisation, listOf(version), PROMPT_TOKENS, ANSWER_TOKENS, cost = 2.03),
    atMillis = 1_764_800_000_000,
)

private fun requestId(number: Int) =
    RequestId("6f1c2f6e-0000-4000-8000-${number.toString().padStart(UUID_TAIL_DIGITS, '0')}")

private fun fill(
    count: Int,
    keyed: Boolean,
): Ledger {
    val ledger = Ledger()
    repeat(count) { number ->
        if (keyed) ledger.apply(begin(number)) { VersionState.Serving }
        ledger.apply(finish(number, keyed)) { VersionState.Serving }
    }
    return ledger
}

private fun heapOf(
    count: Int,
    keyed: Boolean,
): Point {
    val before = settledHeapBytes()
    val ledger = fill(count, keyed)
    val held = settledHeapBytes() - before
    check(ledger.size().bills == count) { "expected $count bills, got ${ledger.size()}" }
    return Point(count.toDouble(), held.toDouble())
}

private fun settledHeapBytes(): Long {
    repeat(SETTLE_ROUNDS) { System.gc() }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}

private fun applyTime(count: Int): Point {
    val threads = ManagementFactory.getThreadMXBean()
    fill(SMALL_RUN, keyed = true)
    val before = threads.currentThreadCpuTime
    fill(count, keyed = true)
    return Point(count.toDouble(), (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO)
}
