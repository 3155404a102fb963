/*
 * Slopes that are measured without another process: the encoded size of messages by their content, and the memory and
 * processor time of the request ledger by its number of records.
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
private const val GARBAGE_COLLECTION_ROUNDS = 3
private const val SAMPLE_PERMITS = 32
private const val SAMPLE_RUNNING = 17
private const val SAMPLE_QUEUED_TOKENS = 12_345L
private const val DIGEST_BYTES = 32
private const val STATUS_OK = 200
private const val PROMPT_TOKENS = 800L
private const val ANSWER_TOKENS = 215L
private const val UUID_TAIL_DIGITS = 12
private const val SMALL_RECORD_COUNT = 10_000

private val upstreamCounts = listOf(1, 50, 150, 450)
private val organisationCounts = listOf(10, 50, 100, 200)
private val recordCounts = listOf(SMALL_RECORD_COUNT, 20_000, 40_000, 80_000)
private val organisation = OrganisationName("sajha-dealer-07")
private val version = ModelVersion("quill-large", "2026-11-30")

internal fun stateSlopes(): List<SlopeReport> = listOf(
    slopeReport("grant bytes by changed upstreams", "bytes", upstreamCounts.map(::grantPoint)),
    slopeReport(
        "configuration bytes by organisations and routes",
        "bytes",
        organisationCounts.map(::configurationPoint),
    ),
    slopeReport("ledger heap bytes by finished requests", "bytes", recordCounts.map { heapPoint(it, keyed = true) }),
    slopeReport("ledger heap bytes by bills alone", "bytes", recordCounts.map { heapPoint(it, keyed = false) }),
    slopeReport("ledger microseconds by begin and finish", "microseconds", recordCounts.map(::applyTimePoint)),
)

/** Returns the encoded size of each message, in bytes. */
internal fun messageBytes(): Map<String, Int> = mapOf(
    "heartbeat of an entry" to
        frameBytes(Heartbeat(SMALL_RECORD_COUNT.toLong(), 1, membershipNumber = SMALL_RECORD_COUNT.toLong())),
    "heartbeat of an agent" to frameBytes(Heartbeat(SMALL_RECORD_COUNT.toLong(), 1, announcement(1))),
    "grant without news" to frameBytes(LeaseGrant(SMALL_RECORD_COUNT.toLong(), LEASE_MILLIS, 1)),
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
    load = UpstreamLoad(permits = SAMPLE_PERMITS, running = SAMPLE_RUNNING, queuedTokens = SAMPLE_QUEUED_TOKENS),
)

private fun grantPoint(count: Int): Point {
    val membership = Membership(1, complete = false, upstreams = List(count, ::announcement))
    val grant = LeaseGrant(1, LEASE_MILLIS, 1, membership = membership)
    return Point(count.toDouble(), frameBytes(grant).toDouble())
}

private fun configurationPoint(count: Int): Point {
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

private fun filledLedger(
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

private fun heapPoint(
    count: Int,
    keyed: Boolean,
): Point {
    val beforeBytes = heapBytesAfterGarbageCollection()
    val ledger = filledLedger(count, keyed)
    val heldBytes = heapBytesAfterGarbageCollection() - beforeBytes
    check(ledger.size().bills == count) { "expected $count bills, got ${ledger.size()}" }
    return Point(count.toDouble(), heldBytes.toDouble())
}

private fun heapBytesAfterGarbageCollection(): Long {
    repeat(GARBAGE_COLLECTION_ROUNDS) { System.gc() }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}

private fun applyTimePoint(count: Int): Point {
    val threads = ManagementFactory.getThreadMXBean()
    filledLedger(SMALL_RECORD_COUNT, keyed = true)
    val beforeNanos = threads.currentThreadCpuTime
    filledLedger(count, keyed = true)
    return Point(count.toDouble(), (threads.currentThreadCpuTime - beforeNanos) / NANOS_PER_MICRO)
}
