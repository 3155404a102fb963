/*
 * Generates traces from a seed: Poisson arrivals at the scenario's rate, organisations of different sizes, sessions of
 * a few turns, and callers' reading times in the scenario with slow readers.
 */
package io.carawaytrack.replay

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/**
 * Generates the trace of [scenario] on [deployment] from [seed]: a warm-up of [warmUpMillis] that is excluded from the
 * measures, followed by a measured part of [lengthMillis].
 */
public fun generateTrace(
    deployment: Deployment,
    scenario: Scenario,
    seed: Long,
    lengthMillis: Long = scenario.measuredMillis,
    warmUpMillis: Long = scenario.warmUpMillis,
): Trace {
    val header =
        TraceHeader(
            origin = TraceOrigin.Seed,
            deployment = deployment,
            scenario = scenario,
            seed = seed,
            warmUpMillis = warmUpMillis,
            endMillis = warmUpMillis + lengthMillis,
        )
    return Trace(header, TraceGenerator(header, Random(seed)).requests())
}

private class TraceGenerator(
    private val header: TraceHeader,
    private val random: Random,
) {
    private val spec = specOf(header.deployment)
    private var sessions = 0

    fun requests(): List<TraceRequest> {
        val generated = baselineRequests() + if (header.scenario == Scenario.Flood) floodRequests() else emptyList()
        return generated.sortedBy { it.atMillis }.mapIndexed { index, request -> request.copy(id = index) }
    }

    private fun baselineRequests(): List<TraceRequest> =
        arrivals(0.0, header.endMillis.toDouble(), spec.peakRequestsPerSecond * header.scenario.loadRatio)
            .flatMap { atMillis -> requestOrSession(atMillis, drawTraffic(), drawOrganisation()) }

    private fun floodRequests(): List<TraceRequest> {
        val from = header.warmUpMillis + FLOOD_START_MILLIS
        val until = minOf(from + FLOOD_MILLIS, header.endMillis)
        return arrivals(from.toDouble(), until.toDouble(), spec.peakRequestsPerSecond * FLOOD_LOAD).map { atMillis ->
            request(
                atMillis,
                spec.traffic.first(),
                organisationName(FLOODING_ORGANISATION),
                session = null,
            ).copy(flood = true)
        }
    }

    private fun arrivals(
        fromMillis: Double,
        untilMillis: Double,
        perSecond: Double,
    ): List<Double> = buildList {
        var atMillis = fromMillis + interarrivalMillis(perSecond)
        while (atMillis < untilMillis) {
            add(atMillis)
            atMillis += interarrivalMillis(perSecond)
        }
    }

    private fun interarrivalMillis(perSecond: Double) = -ln(1.0 - random.nextDouble()) / perSecond * MILLIS_PER_SECOND

    /**
     * Returns one request, or the turns of a session. A session starts with a probability of one over its number of
     * turns, so that sessions keep the route's share of the traffic.
     */
    private fun requestOrSession(
        atMillis: Double,
        traffic: RouteTraffic,
        organisation: String,
    ): List<TraceRequest> {
        if (traffic.sessionTurns == 1) return listOf(request(atMillis, traffic, organisation, session = null))
        if (random.nextInt(traffic.sessionTurns) != 0) return emptyList()
        val session = "session-${sessions++}"
        var turnAtMillis = atMillis
        return List(traffic.sessionTurns) {
            val turn = request(turnAtMillis, traffic, organisation, session)
            turnAtMillis += MIN_TURN_INTERVAL_MILLIS * (1 + random.nextDouble())
            turn
        }.filter { it.atMillis < header.endMillis }
    }

    private fun request(
        atMillis: Double,
        traffic: RouteTraffic,
        organisation: String,
        session: String?,
    ): TraceRequest {
        val answerTokens = traffic.answerTokens.random(random).toLong()
        return TraceRequest(
            id = 0,
            atMillis = atMillis.toLong(),
            organisation = organisation,
            route = traffic.route.name,
            promptTokens = traffic.promptTokens.random(random).toLong(),
            answerTokens = answerTokens,
            difficulty = random.nextDouble().pow(traffic.difficultyPower),
            session = session,
            readMillis = readMillis(answerTokens),
        )
    }

    private fun readMillis(answerTokens: Long): Long {
        val isSlowReader = header.scenario == Scenario.SlowReaders && random.nextBoolean()
        return if (isSlowReader) answerTokens * SLOW_READ_MILLIS_PER_TOKEN else 0
    }

    private fun drawTraffic(): RouteTraffic {
        var remaining = random.nextDouble()
        return spec.traffic.firstOrNull {
            remaining -= it.share
            remaining < 0
        } ?: spec.traffic.last()
    }

    private fun drawOrganisation(): String {
        val large = random.nextDouble() < LARGE_ORGANISATIONS_RATIO
        val number =
            if (large) random.nextInt(LARGE_ORGANISATIONS) else random.nextInt(LARGE_ORGANISATIONS, ORGANISATION_COUNT)
        return organisationName(number)
    }

    private companion object {
        const val LARGE_ORGANISATIONS_RATIO = 0.5
        const val MIN_TURN_INTERVAL_MILLIS = 20_000.0
        const val SLOW_READ_MILLIS_PER_TOKEN = 100L
        const val FLOOD_START_MILLIS = 120_000L
        const val FLOOD_MILLIS = 180_000L
        const val FLOOD_LOAD = 2.0
        const val FLOODING_ORGANISATION = 0
    }
}
